// Random schedules of submissions and faults on simulated VMs. Guards against a job that is started twice, is reported as not
// run after a start, or gets two answers; and against VMs that refuse new work after all faults have ended.
#include <cstdlib>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "tests/fakes/claim_cluster.h"

using namespace coriandermount;
using namespace std::chrono_literals;
using fakes::claim_cluster;

namespace {

enum class fault {
    kill,
    restart,
    replace,
    pause,
    isolate,
    partition_domains,
    partition_from_log,
    log_down,
    drop_append_answers,
    replace_all,
    clock_error
};

constexpr int faultCount = 11;
constexpr std::array<const char*, faultCount> faultNames { "kill", "restart", "replace", "pause", "isolate", "partition_domains",
    "partition_from_log", "log_down", "drop_append_answers", "replace_all", "clock_error" };

/// One fault of a schedule; `at` and `span` are in milliseconds.
struct fault_step {
    fault kind = fault::kill;
    unsigned at = 0;
    unsigned vm = 0;
    unsigned span = 0;
};

/// One submission of a schedule; `at` is in milliseconds.
struct submission {
    unsigned at = 0;
    unsigned vm = 0;
    unsigned key = 0;
    bool otherContent = false;
};

struct schedule {
    unsigned domains = 1;
    unsigned vms = 3;
    std::uint64_t seed = 1;
    std::vector<fault_step> faults;
    std::vector<submission> submissions;
};

constexpr unsigned keyCount = 4;
constexpr unsigned scheduleMilliseconds = 4000;

std::ostream& operator<<(std::ostream& stream, const schedule& plan)
{
    stream << fmt::format("{} domains of {} VMs, seed {}", plan.domains, plan.vms, plan.seed);
    for (const auto& step : plan.faults)
        stream << fmt::format(
            "\n  {} ms: {} of VM {} for {} ms", step.at, faultNames[static_cast<std::size_t>(step.kind)], step.vm, step.span);
    for (const auto& entry : plan.submissions)
        stream << fmt::format(
            "\n  {} ms: key {} through VM {}{}", entry.at, entry.key, entry.vm, entry.otherContent ? " with other content" : "");
    return stream;
}

rc::Gen<fault_step> genFault()
{
    return rc::gen::build<fault_step>(
        rc::gen::set(&fault_step::kind, rc::gen::map(rc::gen::inRange(0, faultCount), [](int kind) { return fault(kind); })),
        rc::gen::set(&fault_step::at, rc::gen::inRange(0U, scheduleMilliseconds)),
        rc::gen::set(&fault_step::vm, rc::gen::inRange(0U, 8U)), rc::gen::set(&fault_step::span, rc::gen::inRange(100U, 2500U)));
}

rc::Gen<submission> genSubmission()
{
    return rc::gen::build<submission>(rc::gen::set(&submission::at, rc::gen::inRange(0U, scheduleMilliseconds)),
        rc::gen::set(&submission::vm, rc::gen::inRange(0U, 8U)), rc::gen::set(&submission::key, rc::gen::inRange(0U, keyCount)),
        rc::gen::set(&submission::otherContent, rc::gen::map(rc::gen::inRange(0, 10), [](int value) { return value == 9; })));
}

rc::Gen<schedule> genSchedule(std::size_t faults)
{
    return rc::gen::build<schedule>(rc::gen::set(&schedule::domains, rc::gen::inRange(1U, 3U)),
        rc::gen::set(&schedule::vms, rc::gen::inRange(1U, 4U)),
        rc::gen::set(&schedule::seed, rc::gen::inRange<std::uint64_t>(0, 1000000)),
        rc::gen::set(&schedule::faults, rc::gen::container<std::vector<fault_step>>(faults, genFault())),
        rc::gen::set(&schedule::submissions, rc::gen::container<std::vector<submission>>(12, genSubmission())));
}

void apply(claim_cluster& cluster, const fault_step& step, unsigned vmsPerDomain, unsigned domains)
{
    const unsigned vm = step.vm % cluster.vmCount();
    switch (step.kind) {
    case fault::kill:
        cluster.kill(vm);
        break;
    case fault::restart:
        cluster.restart(vm);
        break;
    case fault::replace:
        cluster.replace(vm);
        break;
    case fault::pause:
        cluster.pause(vm, std::chrono::milliseconds(step.span));
        break;
    case fault::isolate:
        cluster.isolate(vm);
        break;
    case fault::partition_domains:
        cluster.partitionDomains(0, domains - 1);
        break;
    case fault::partition_from_log:
        cluster.partitionFromLog(vm);
        break;
    case fault::log_down:
        cluster.setLogDown(true);
        break;
    case fault::drop_append_answers:
        cluster.setDropAppendAnswers(true);
        break;
    case fault::replace_all:
        for (unsigned index = 0; index < vmsPerDomain; ++index)
            cluster.replace(vm / vmsPerDomain * vmsPerDomain + index);
        break;
    case fault::clock_error:
        cluster.setClockError(vm, step.span % 2 ? 500ms : -500ms);
        break;
    }
}

/// Runs a schedule and returns the violation found; empty if there is none. `probeAfterwards` also checks that every VM serves
/// new submissions after all faults have ended.
std::string runSchedule(const schedule& plan, const claims::protocol_guards& guards, bool probeAfterwards)
{
    claim_cluster cluster({ plan.domains, plan.vms, guards, plan.seed });
    cluster.run(1500ms);
    const wall_time issued = cluster.wall();
    std::vector<job_key> keys;
    for (unsigned index = 0; index < keyCount; ++index)
        keys.push_back({ { "kellari" }, fmt::format("job{}", index), issued + std::chrono::milliseconds(index * 1200) });
    std::multimap<unsigned, std::function<void()>> steps;
    for (const auto& step : plan.faults)
        steps.emplace(step.at, [&cluster, &plan, step] { apply(cluster, step, plan.vms, plan.domains); });
    for (const auto& entry : plan.submissions)
        steps.emplace(entry.at, [&cluster, &keys, entry] {
            cluster.submit(entry.vm % cluster.vmCount(), keys[entry.key], entry.otherContent ? 2 : 1);
        });
    unsigned now = 0;
    for (const auto& [at, action] : steps) {
        cluster.run(std::chrono::milliseconds(at - now));
        now = at;
        action();
    }
    cluster.run(1500ms);
    cluster.heal();
    cluster.run(500ms);
    for (unsigned vm = 0; vm < cluster.vmCount(); ++vm)
        for (const auto& key : keys)
            cluster.submit(vm, key, 1);
    cluster.run(3s);
    if (std::string violation = cluster.findViolation(); !violation.empty() || !probeAfterwards)
        return violation;
    // The log lease of a lost view expires within this time; after it every VM has to serve new work.
    cluster.setTickInterval(100ms);
    cluster.run(9s);
    cluster.setTickInterval(20ms);
    const std::size_t before = cluster.answers().size();
    for (unsigned vm = 0; vm < cluster.vmCount(); ++vm)
        cluster.submit(vm, { { "kellari" }, fmt::format("probe{}", vm), cluster.wall() }, 1);
    cluster.run(3s);
    if (cluster.answers().size() != before + cluster.vmCount())
        return "a submission after the end of all faults got no answer";
    for (std::size_t index = before; index < cluster.answers().size(); ++index) {
        const auto& answer = cluster.answers()[index];
        if (answer.result == outcome::may_have_run)
            return fmt::format("a submission after the end of all faults failed: {}", nameOf(*answer.problem));
    }
    return cluster.findViolation();
}

constexpr int defaultSchedules = 500;

/// Returns the number of schedules per property. CI sets more than the default.
int scheduleCount()
{
    const char* number = std::getenv("CORIANDERMOUNT_CLAIM_SCHEDULES");
    return number ? std::atoi(number) : defaultSchedules;
}

/// Runs random schedules with the given number of faults, and returns whether none violates an invariant. A violating
/// schedule is shrunk and printed.
bool holdsOnRandomSchedules(std::size_t faults)
{
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    params.maxSuccess = scheduleCount();
    const auto outcome = rc::detail::checkTestable(
        [faults] {
            const auto plan = *genSchedule(faults);
            const std::string violation = runSchedule(plan, {}, true);
            if (!violation.empty())
                RC_FAIL(violation);
        },
        rc::detail::TestMetadata {}, params);
    rc::detail::printResultMessage(outcome, std::cerr);
    std::cerr << std::endl;
    return outcome.is<rc::detail::SuccessResult>();
}

/// Runs up to `limit` schedules and returns the first violation with the number of its schedule; empty if there is none.
std::string firstViolation(
    const claims::protocol_guards& guards, unsigned limit, const std::vector<fault_step>& alwaysPresent = {})
{
    for (unsigned number = 1; number <= limit; ++number) {
        rc::Random random(number);
        schedule plan = genSchedule(4)(random, 100).value();
        if (!alwaysPresent.empty()) {
            plan.domains = 1;
            plan.vms = 3;
            plan.faults = alwaysPresent;
        }
        if (const std::string violation = runSchedule(plan, guards, false); !violation.empty())
            return fmt::format("schedule {}: {}", number, violation);
    }
    return {};
}

/// One VM is partitioned from the other VMs of its failure domain, and these are partitioned from the log.
const std::vector<fault_step> partitionedDomain { { fault::isolate, 0, 0, 0 }, { fault::partition_from_log, 0, 1, 0 },
    { fault::partition_from_log, 0, 2, 0 } };

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_SUITE(under_random_faults)

BOOST_AUTO_TEST_CASE(holds_with_one_fault) { BOOST_TEST(holdsOnRandomSchedules(1)); }

BOOST_AUTO_TEST_CASE(holds_with_two_faults) { BOOST_TEST(holdsOnRandomSchedules(2)); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(violation_is_detected_without)

constexpr unsigned scheduleLimit = 1000;

void expectViolation(const claims::protocol_guards& guards, const std::vector<fault_step>& alwaysPresent = {})
{
    const std::string violation = firstViolation(guards, scheduleLimit, alwaysPresent);
    BOOST_TEST(!violation.empty());
    BOOST_TEST_MESSAGE(violation);
}

BOOST_AUTO_TEST_CASE(the_claim_quorum) { expectViolation({ .requireClaimQuorum = false }); }

BOOST_AUTO_TEST_CASE(fencing) { expectViolation({ .fencing = false }); }

BOOST_AUTO_TEST_CASE(the_wait_for_closed_predecessors)
{
    expectViolation({ .waitForClosedPredecessors = false }, partitionedDomain);
    BOOST_TEST(firstViolation({}, scheduleLimit, partitionedDomain) == "");
}

BOOST_AUTO_TEST_CASE(reads_of_closed_views) { expectViolation({ .readClosedViews = false }); }

BOOST_AUTO_TEST_CASE(final_give_up_reports) { expectViolation({ .reportOnlyFinalGiveUp = false }); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
