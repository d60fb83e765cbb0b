// Checks that VMs converge on one configuration under random faults of the log, the network and the VMs.
#include <map>
#include <ostream>
#include <set>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "tests/fakes/check_schedules.h"
#include "tests/fakes/virtual_followers.h"

using namespace coriandermount;
using namespace std::chrono_literals;
using configuration::snapshot;
using fakes::virtual_followers;

namespace {

constexpr int scheduleCount = 1000;
constexpr unsigned vmCount = 4;
constexpr auto settleTime = 60000ms;

enum class fault {
    none,
    publish,
    publish_concurrently,
    log_unavailable,
    drop_append_answers,
    partition_from_log,
    partition_from_peers,
    heal,
    append_duplicate,
    append_bad_record,
    restart,
    kill,
    truncate_tail,
    discard_oldest,
};

struct step {
    fault kind = fault::none;
    unsigned vm = 0;
    unsigned number = 0;
    unsigned wait = 0;
};

std::ostream& operator<<(std::ostream& out, const step& value)
{
    return out << "{" << static_cast<int>(value.kind) << ", " << value.vm << ", " << value.number << ", " << value.wait << "}";
}

rc::Gen<std::vector<step>> stepsUpTo(fault last)
{
    return rc::gen::container<std::vector<step>>(
        rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(last) + 1), rc::gen::inRange(0U, vmCount),
                         rc::gen::inRange(0U, 8U), rc::gen::inRange(0U, 40U)),
            [](const std::tuple<int, unsigned, unsigned, unsigned>& values) {
                const auto& [kind, vm, number, wait] = values;
                return step { static_cast<fault>(kind), vm, number, wait };
            }));
}

struct faulty_vms {
    explicit faulty_vms(std::uint64_t seed)
        : vms(vmCount, seed, options())
    {
        vms.run(2000ms);
    }

    static configuration::follower_options options()
    {
        configuration::follower_options options;
        options.copyAfter = 20000ms;
        return options;
    }

    void publish(unsigned vm, unsigned number)
    {
        if (vms.isRunning(vm))
            vms.publish(vm, "author" + std::to_string(vm), "customer" + std::to_string(number), "plan" + std::to_string(number));
    }

    void apply(const step& value)
    {
        const bool on = value.number % 2 == 0;
        switch (value.kind) {
        case fault::none:
            break;
        case fault::publish:
            publish(value.vm, value.number);
            break;
        case fault::publish_concurrently:
            publish(value.vm, value.number);
            publish((value.vm + 1) % vmCount, value.number + 1);
            break;
        case fault::log_unavailable:
            vms.setLogUnavailable(on);
            break;
        case fault::drop_append_answers:
            vms.setDropAppendAnswers(on);
            break;
        case fault::partition_from_log:
            vms.partitionFromLog(value.vm, on);
            break;
        case fault::partition_from_peers:
            vms.partitionFromPeers(value.vm, on);
            break;
        case fault::heal:
            vms.heal();
            break;
        case fault::append_duplicate:
            vms.log().appendDuplicate(value.number);
            break;
        case fault::append_bad_record:
            vms.log().append("bad");
            break;
        case fault::restart:
            vms.restart(value.vm);
            break;
        case fault::kill:
            // VM 0 is never killed, as in a rolling replacement of the fleet, where some VM always keeps the configuration.
            if (value.vm > 0)
                vms.kill(value.vm);
            break;
        case fault::truncate_tail:
            vms.log().truncateTail(value.number);
            break;
        case fault::discard_oldest:
            vms.log().keepNewest(value.number);
            break;
        }
    }

    virtual_followers vms;
};

/// Checks that no two accepted publications with different records have the same version.
void checkOneWinner(const std::vector<configuration::publish_result>& results)
{
    std::map<std::uint64_t, std::string> winners;
    for (const auto& outcome : results) {
        if (outcome.problem)
            continue;
        const auto [known, added] = winners.emplace(outcome.version, outcome.recordId);
        RC_ASSERT(added || known->second == outcome.recordId);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(under_random_faults)

BOOST_AUTO_TEST_CASE(versions_never_regress_and_vms_converge_after_the_faults)
{
    BOOST_TEST(fakes::checkSchedules("monotonic and agreed", scheduleCount, [] {
        faulty_vms faulty(*rc::gen::arbitrary<std::uint64_t>());
        for (const auto& step : *stepsUpTo(fault::discard_oldest)) {
            faulty.apply(step);
            faulty.vms.run(std::chrono::milliseconds(step.wait * 50));
            RC_ASSERT(faulty.vms.regressions() == 0U);
        }
        faulty.vms.heal();
        faulty.vms.run(settleTime);
        RC_ASSERT(faulty.vms.regressions() == 0U);
        RC_ASSERT(faulty.vms.allAgree());
    }));
}

BOOST_AUTO_TEST_CASE(each_version_has_one_winner_and_accepted_records_are_kept)
{
    BOOST_TEST(fakes::checkSchedules("one winner", scheduleCount, [] {
        faulty_vms faulty(*rc::gen::arbitrary<std::uint64_t>());
        for (const auto& step : *stepsUpTo(fault::append_bad_record)) {
            faulty.apply(step);
            faulty.vms.run(std::chrono::milliseconds(step.wait * 50));
        }
        faulty.vms.heal();
        faulty.vms.run(settleTime);
        RC_ASSERT(faulty.vms.allAgree());
        checkOneWinner(faulty.vms.results());
        for (const auto& outcome : faulty.vms.results()) {
            const auto known = faulty.vms.followerOf(0).outcomeOf(outcome.recordId);
            if (!outcome.problem)
                RC_ASSERT(known && known->version == outcome.version);
            else if (outcome.problem->kind != error_kind::publish_unknown)
                RC_ASSERT(!known || known->version == 0U);
        }
        // The log is available again, so a new publication must succeed.
        faulty.publish(0, 1);
        faulty.vms.run(5000ms);
        RC_ASSERT(!faulty.vms.results().back().problem);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
