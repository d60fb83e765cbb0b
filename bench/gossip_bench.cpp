// Measures membership gossip in bytes per second and VM, by the number of members and of failure domains, on a virtual clock.
// The ratio is relative to the smallest fleet of the same run.
#include <algorithm>
#include <string>

#include <fmt/format.h>

#include "tests/fakes/virtual_fleet.h"

using namespace coriandermount;

namespace {

constexpr std::chrono::seconds settleTime { 60 };
constexpr std::chrono::seconds measurementTime { 120 };

/// Traffic per second and VM.
struct traffic {
    double meanBytes = 0;
    double maxBytes = 0;
    double calls = 0;
};

std::string vmName(unsigned domain, unsigned member) { return fmt::format("entry-{:02}-{:02}", domain, member); }

/// Returns the traffic per VM. If `changes` is set, one VM restarts each minute.
traffic measure(unsigned domains, unsigned members, bool changes)
{
    fakes::virtual_fleet fleet(1);
    fleet.setListingDown(true);
    for (unsigned domain = 0; domain < domains; ++domain) {
        for (unsigned member = 0; member < members; ++member)
            fleet.start(vmName(domain, member), fmt::format("domain-{:02}", domain));
    }
    fleet.setListing(fleet.runningVmListing());
    fleet.setListingDown(false);
    fleet.run(settleTime);
    fleet.countBytes();
    std::map<std::string, std::uint64_t> callsBefore;
    for (const auto& vm : fleet.runningVms())
        callsBefore[vm] = fleet.callsOf(vm);
    for (unsigned second = 0; second < measurementTime.count(); ++second) {
        if (changes && second % 60 == 0)
            fleet.start(vmName(second / 60 % domains, members - 1), fmt::format("domain-{:02}", second / 60 % domains));
        fleet.setListing(fleet.runningVmListing());
        fleet.run(std::chrono::seconds(1));
    }
    traffic total;
    const auto seconds = static_cast<double>(measurementTime.count());
    const auto runningVms = fleet.runningVms();
    for (const auto& vm : runningVms) {
        const double bytes = static_cast<double>(fleet.bytesOf(vm)) / seconds;
        total.meanBytes += bytes / static_cast<double>(runningVms.size());
        total.maxBytes = std::max(total.maxBytes, bytes);
        const std::uint64_t calls = fleet.callsOf(vm);
        total.calls
            += static_cast<double>(calls - std::min(calls, callsBefore[vm])) / seconds / static_cast<double>(runningVms.size());
    }
    return total;
}

void report(unsigned domains, unsigned members, bool changes, double baseline)
{
    const traffic measured = measure(domains, members, changes);
    fmt::print("{:>7} {:>7} {:>8} {:>10.0f} {:>10.0f} {:>8.2f} {:>7.2f}\n", domains, members, changes ? "1/min" : "none",
        measured.meanBytes, measured.maxBytes, measured.calls, measured.meanBytes / baseline);
}

} // namespace

int main()
{
    fmt::print("{:>7} {:>7} {:>8} {:>10} {:>10} {:>8} {:>7}\n", "domains", "members", "restarts", "mean B/s", "max B/s",
        "calls/s", "ratio");
    const double baseline = measure(1, 3, false).meanBytes;
    for (const unsigned members : { 3U, 6U, 9U, 18U, 36U })
        report(1, members, false, baseline);
    for (const unsigned domains : { 3U, 4U, 10U, 19U })
        report(domains, 9, false, baseline);
    report(19, 9, true, baseline);
    return 0;
}
