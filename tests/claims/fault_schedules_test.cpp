// Random schedules of submissions and faults over the claim protocol in virtual time.
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
    cut_inside,
    cut_domains,
    cut_from_log,
    log_down,
    lose_append_answers,
    replace_all,
    clock_off
};

constexpr int faultCount = 11;
constexpr std::array<const char*, faultCount> faultNames { "kill", "restart", "replace", "pause", "cut_inside", "cut_domains",
    "cut_from_log", "log_down", "lose_append_answers", "replace_all", "clock_off" };

struct fault_step {
    fault kind = fault::kill;
    unsigned at = 0;
    unsigned vm = 0;
    unsigned span = 0;
};

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
constexpr unsigned spanMilliseconds = 4000;

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
        rc::gen::set(&fault_step::at, rc::gen::inRange(0U, spanMilliseconds)),
        rc::gen::set(&fault_step::vm, rc::gen::inRange(0U, 8U)), rc::gen::set(&fault_step::span, rc::gen::inRange(100U, 2500U)));
}

rc::Gen<submission> genSubmission()
{
    return rc::gen::build<submission>(rc::gen::set(&submission::at, rc::gen::inRange(0U, spanMilliseconds)),
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
    case fault::cut_inside:
        cluster.isolate(vm);
        break;
    case fault::cut_domains:
        cluster.partitionDomains(0, domains - 1);
        break;
    case fault::cut_from_log:
        cluster.partitionFromLog(vm);
        break;
    case fault::log_down:
        cluster.setLogDown(true);
        break;
    case fault::lose_append_answers:
        cluster.setDropAppendAnswers(true);
        break;
    case fault::replace_all:
        for (unsigned index = 0; index < vmsPerDomain; ++index)
            cluster.replace(vm / vmsPerDomain * vmsPerDomain + index);
        break;
    case fault::clock_off:
        cluster.setClockError(vm, step.span % 2 ? 500ms : -500ms);
        break;
    }
}

/// Runs a schedule and returns the violation found; `probeAfterwards` also asks for service after all faults ended.
std::string play(const schedule& plan, const claims::protocol_guards& guards, bool probeAfterwards)
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
    if (std::string broken = cluster.findViolation(); !broken.empty() || !probeAfterwards)
        return broken;
    // Once the lease of a lost view has passed, new work is served by every VM.
    cluster.setTickInterval(100ms);
    cluster.run(9s);
    cluster.setTickInterval(20ms);
    const std::size_t before = cluster.answers().size();
    for (unsigned vm = 0; vm < cluster.vmCount(); ++vm)
        cluster.submit(vm, { { "kellari" }, fmt::format("probe{}", vm), cluster.wall() }, 1);
    cluster.run(3s);
    if (cluster.answers().size() != before + cluster.vmCount())
        return "a submission after healing got no answer";
    for (std::size_t index = before; index < cluster.answers().size(); ++index) {
        const auto& told = cluster.answers()[index];
        if (told.result == outcome::may_have_run)
            return fmt::format("a submission after healing was refused: {}", nameOf(*told.problem));
    }
    return cluster.findViolation();
}

constexpr int defaultSchedules = 500;

/// Schedules per property; CI sets many more.
int randomSchedules()
{
    const char* number = std::getenv("CORIANDERMOUNT_CLAIM_SCHEDULES");
    return number ? std::atoi(number) : defaultSchedules;
}

/// Plays schedules with that many faults; a failing one is shrunk and printed.
bool holdsOnRandomSchedules(std::size_t faults)
{
    rc::detail::TestParams params = rc::detail::configuration().testParams;
    params.maxSuccess = randomSchedules();
    const auto outcome = rc::detail::checkTestable(
        [faults] {
            const auto plan = *genSchedule(faults);
            const std::string broken = play(plan, {}, true);
            if (!broken.empty())
                RC_FAIL(broken);
        },
        rc::detail::TestMetadata {}, params);
    rc::detail::printResultMessage(outcome, std::cerr);
    std::cerr << std::endl;
    return outcome.is<rc::detail::SuccessResult>();
}

/// Plays at most `limit` schedules and returns the first violation with its number; empty when there is none.
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
        if (const std::string broken = play(plan, guards, false); !broken.empty())
            return fmt::format("schedule {}: {}", number, broken);
    }
    return {};
}

/// One VM is cut off from the others of its domain, and these from the log.
const std::vector<fault_step> dividedDomain { { fault::cut_inside, 0, 0, 0 }, { fault::cut_from_log, 0, 1, 0 },
    { fault::cut_from_log, 0, 2, 0 } };

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_SUITE(under_random_faults)

BOOST_AUTO_TEST_CASE(alone) { BOOST_TEST(holdsOnRandomSchedules(1)); }

BOOST_AUTO_TEST_CASE(in_pairs) { BOOST_TEST(holdsOnRandomSchedules(2)); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_seen_to_break_without)

constexpr unsigned scheduleLimit = 1000;

void expectViolation(const claims::protocol_guards& guards, const std::vector<fault_step>& alwaysPresent = {})
{
    const std::string broken = firstViolation(guards, scheduleLimit, alwaysPresent);
    BOOST_TEST(!broken.empty());
    BOOST_TEST_MESSAGE(broken);
}

BOOST_AUTO_TEST_CASE(the_copies_of_a_claim) { expectViolation({ .requireClaimQuorum = false }); }

BOOST_AUTO_TEST_CASE(fencing) { expectViolation({ .fencing = false }); }

BOOST_AUTO_TEST_CASE(the_wait_before_a_takeover)
{
    expectViolation({ .waitForClosedPredecessors = false }, dividedDomain);
    BOOST_TEST(firstViolation({}, scheduleLimit, dividedDomain) == "");
}

BOOST_AUTO_TEST_CASE(the_reads_of_closed_views) { expectViolation({ .readClosedViews = false }); }

BOOST_AUTO_TEST_CASE(the_finality_of_giving_up) { expectViolation({ .reportOnlyFinalGiveUp = false }); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
