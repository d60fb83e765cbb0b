// Measures latency and processor time of a claim over loopback sockets, compared with one plain peer call and one append to the
// log.
#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <ctime>
#include <future>
#include <mutex>
#include <thread>

#include <fmt/format.h>

#include "claims/fleet_claims.h"
#include "net/http_client.h"
#include "peers/http_peers.h"
#include "platform/http_platform.h"
#include "standins/platform_server.h"

using namespace coriandermount;
using namespace std::chrono_literals;

namespace {

constexpr unsigned vmCount = 3;
constexpr int sequentialClaims = 2000;
constexpr int fixedRateClaims = 20000;
constexpr double claimsPerSecond = 5000;

struct vm {
    system_clock_source clock;
    blackboard board;
    net::http_client client;
    peers::http_peer_link link { client };
    platform::http_log log;
    claims::fleet_claims claims;
    peers::http_peer_service service;

    vm(const std::string& id, const std::string& platformAddress)
        : log(client, platformAddress, 1000ms)
        , claims({ clock, board, link, log }, optionsOf(id),
              { [](const job_answer&) { return std::string(); },
                  [](const std::string&) -> result<job_answer> { return job_answer {}; } })
        , service({ .threads = 1 })
    {
        claims.registerMethods(service);
        service.addMethod(
            "echo", [](const std::string& message, const peers::peer_service::reply_function& reply) { reply(message); });
    }

    static claims::claim_core_options optionsOf(const std::string& id)
    {
        claims::claim_core_options options;
        options.self = { { id }, 1, {} };
        options.rack = "rack-" + id;
        options.domain.value = "domain-1";
        return options;
    }

    std::string address() const { return fmt::format("127.0.0.1:{}", service.port()); }
};

using microseconds = std::chrono::duration<double, std::micro>;

/// Prints median and 99th percentile of the samples, in microseconds.
void print(const std::string& name, std::vector<double> samples, double baseline)
{
    std::sort(samples.begin(), samples.end());
    const double median = samples[samples.size() / 2];
    fmt::print("{:<42} median {:8.0f} us   p99 {:8.0f} us   median / plain peer call {:5.2f}\n", name, median,
        samples[samples.size() * 99 / 100], median / baseline);
}

/// Makes `count` calls one after the other and returns their latencies in microseconds.
template <class Call> std::vector<double> measure(int count, Call call)
{
    std::vector<double> samples;
    samples.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        const auto begin = std::chrono::steady_clock::now();
        std::promise<void> ended;
        call(index, [&ended] { ended.set_value(); });
        ended.get_future().wait();
        samples.push_back(microseconds(std::chrono::steady_clock::now() - begin).count());
    }
    return samples;
}

claims::claim_request requestOf(const std::string& name)
{
    const auto now = std::chrono::system_clock::now();
    return { { { "kellari" }, name, std::chrono::time_point_cast<std::chrono::milliseconds>(now) }, 1, false };
}

/// Submits claims at a fixed rate through `entry`. Returns the latencies in microseconds and prints the processor time per claim,
/// summed over all VMs.
std::vector<double> measureAtRate(vm& entry, int count, double rate, int& refused)
{
    std::vector<double> samples(static_cast<std::size_t>(count));
    std::atomic<int> pending { count };
    std::atomic<int> refusals { 0 };
    const std::clock_t processorStart = std::clock();
    const auto begin = std::chrono::steady_clock::now();
    for (int index = 0; index < count; ++index) {
        const auto sendAt
            = begin + std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(index / rate));
        std::this_thread::sleep_until(sendAt);
        const auto sent = std::chrono::steady_clock::now();
        entry.claims.claim(requestOf(fmt::format("rate-{}", index)), [&, index, sent](const auto& decision) {
            samples[static_cast<std::size_t>(index)] = microseconds(std::chrono::steady_clock::now() - sent).count();
            if (!decision)
                ++refusals;
            --pending;
        });
    }
    while (pending > 0)
        std::this_thread::sleep_for(1ms);
    const double processorSeconds = static_cast<double>(std::clock() - processorStart) / CLOCKS_PER_SEC;
    refused = refusals;
    fmt::print("processor time of the whole process: {:.1f} us per claim, {} refused\n", processorSeconds / count * 1e6, refused);
    return samples;
}

} // namespace

int main()
{
    standins::platform_server platform({});
    if (!platform.start())
        return 1;
    const std::string platformAddress = fmt::format("127.0.0.1:{}", platform.port());
    std::vector<std::unique_ptr<vm>> vms;
    auto view = std::make_shared<fleet_view>();
    for (unsigned index = 0; index < vmCount; ++index) {
        vms.push_back(std::make_unique<vm>(fmt::format("vm{}", index), platformAddress));
        if (!vms.back()->service.start())
            return 1;
        view->members.push_back(
            { { fmt::format("vm{}", index) }, { "domain-1" }, "rack", vms.back()->address(), 1, member_state::alive });
    }
    for (auto& target : vms) {
        target->board.fleet.publish(view);
        target->claims.start(target->address());
    }
    std::this_thread::sleep_for(6s);

    const auto plain = measure(sequentialClaims,
        [&](int, auto done) { vms[0]->link.call(vms[1]->address(), "echo", "x", 1000ms, [done](const auto&) { done(); }); });
    std::vector<double> sorted = plain;
    std::sort(sorted.begin(), sorted.end());
    const double baseline = sorted[sorted.size() / 2];
    print("one plain peer call", plain, baseline);
    print("one append to the log (stand-in: 5 ms)",
        measure(200, [&](int, auto done) { vms[0]->log.append("bench", "x", [done](const auto&) { done(); }); }), baseline);
    int refused = 0;
    print("claim, one at a time, 3 VMs",
        measure(sequentialClaims,
            [&](int index, auto done) {
                vms[0]->claims.claim(requestOf(fmt::format("single-{}", index)), [done, &refused](const auto& decision) {
                    refused += decision ? 0 : 1;
                    done();
                });
            }),
        baseline);
    fmt::print("{} refused\n", refused);
    print("claim, 5000 a second through one VM", measureAtRate(*vms[0], fixedRateClaims, claimsPerSecond, refused), baseline);
    for (auto& target : vms) {
        target->service.stop();
        target->claims.stop();
    }
    return 0;
}
