// Measures the time until a published configuration is in force on all VMs, on a virtual clock, and the size of its record.
// Ratios are relative to a fleet of three VMs, which is measured first in the same run.
#include <algorithm>
#include <chrono>
#include <string>

#include <fmt/format.h>

#include "configuration/codec.h"
#include "configuration/record.h"
#include "tests/fakes/virtual_followers.h"

using namespace coriandermount;
using std::chrono::milliseconds;

namespace {

constexpr unsigned plans = 110;
constexpr unsigned customers = 5000;
/// 7.2 s between publications, which is 12,000 a day.
constexpr milliseconds publishInterval { 7200 };
constexpr milliseconds step { 100 };
constexpr unsigned publications = 20;

configuration::snapshot largeLists()
{
    configuration::snapshot lists;
    lists.author = "operator";
    lists.reason = "first lists";
    lists.recordId = "first";
    for (unsigned index = 0; index < plans; ++index)
        lists.plans[{ fmt::format("plan-{:03}", index) }].concurrentTasks = 100;
    for (unsigned index = 0; index < customers; ++index)
        lists.customers[{ fmt::format("customer-{:05}", index) }] = { fmt::format("plan-{:03}", index % plans) };
    return lists;
}

bool isInForceOnAllVms(const fakes::virtual_followers& fleet, std::uint64_t version)
{
    for (std::size_t vm = 0; vm < fleet.count(); ++vm) {
        if (fleet.current(vm)->version < version)
            return false;
    }
    return true;
}

/// Adoption times over all publications, and record fetches from peers per publication.
struct adoption_times {
    milliseconds median { 0 };
    milliseconds longest { 0 };
    unsigned fetches = 0;
};

/// Measures a fleet of which the last `withoutLog` VMs can't reach the log and fetch records from their peers.
adoption_times measure(std::size_t vms, std::size_t withoutLog)
{
    fakes::virtual_followers fleet(vms, 1);
    fleet.run(milliseconds(3000));
    fleet.publish(0, largeLists());
    fleet.run(milliseconds(20000));
    for (std::size_t vm = vms - withoutLog; vm < vms; ++vm)
        fleet.partitionFromLog(vm, true);
    const unsigned fetchesBefore = fleet.peerFetches();
    std::vector<milliseconds> times;
    for (unsigned round = 0; round < publications; ++round) {
        const std::uint64_t next = fleet.current(0)->version + 1;
        fleet.publish(0, "operator", fmt::format("customer-{:05}", round), "plan-001");
        milliseconds elapsed { 0 };
        while (!isInForceOnAllVms(fleet, next) && elapsed < publishInterval) {
            fleet.run(step);
            elapsed += step;
        }
        times.push_back(elapsed);
        fleet.run(publishInterval - elapsed);
    }
    std::sort(times.begin(), times.end());
    return { times[times.size() / 2], times.back(), (fleet.peerFetches() - fetchesBefore) / publications };
}

void report(std::size_t vms, std::size_t withoutLog, double baseline)
{
    const adoption_times times = measure(vms, withoutLog);
    fmt::print("{:>5} {:>11} {:>10} {:>10} {:>8} {:>7.2f}\n", vms, withoutLog, times.median.count(), times.longest.count(),
        times.fetches, static_cast<double>(times.median.count()) / baseline);
}

} // namespace

int main()
{
    const configuration::snapshot lists = largeLists();
    configuration::snapshot base = lists;
    base.version = 1;
    configuration::snapshot next = base;
    next.customers[{ "customer-00001" }] = { "plan-000" };
    fmt::print("full record: {} bytes, record of one change: {} bytes\n",
        configuration::encodeRecord(configuration::makeRecord(lists, {})).size(),
        configuration::encodeRecord(configuration::makeRecord(next, base)).size());
    fmt::print("{:>5} {:>11} {:>10} {:>10} {:>8} {:>7}\n", "VMs", "without log", "median ms", "longest ms", "fetches", "ratio");
    const double baseline = static_cast<double>(measure(3, 0).median.count());
    report(3, 0, baseline);
    report(36, 0, baseline);
    report(171, 0, baseline);
    report(171, 9, baseline);
    report(171, 162, baseline);
    return 0;
}
