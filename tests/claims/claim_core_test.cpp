// Decisions of the claim state machine on single inputs: grants, lease expiry, fencing by newer views, and issue times.
#include <boost/test/unit_test.hpp>

#include "claims/claim_core.h"
#include "claims/issued_id.h"

using namespace coriandermount;
using namespace coriandermount::claims;
using namespace std::chrono_literals;

namespace {

view_member memberOf(const std::string& id) { return { { { id }, 1, id }, "rack-" + id }; }

/// State machine of VM "a" in a failure domain with the VMs "a", "b" and "c", which are the members of view 1.
struct member_of_three {
    member_of_three()
        : core(optionsOf(),
            { [](const job_answer&) { return std::string(); },
                [](const std::string&) -> result<job_answer> { return job_answer {}; } })
    {
        core.setFleet({ { { { "a" }, "a" }, { { "b" }, "b" }, { { "c" }, "c" } }, {} });
        receiveHeartbeat("b", 1, {});
        receiveHeartbeat("c", 1, {});
        core.applyLogRecords({ first }, true, at.now, at);
    }

    static claim_core_options optionsOf()
    {
        claim_core_options options;
        options.self = { { "a" }, 1, "a" };
        options.rack = "rack-a";
        options.domain.value = "d";
        return options;
    }

    outputs receiveHeartbeat(const std::string& id, std::uint64_t promisedView, std::vector<claim_view> views)
    {
        return core.receive(
            view_heartbeat { memberOf(id).vm, "rack-" + id, { "d" }, promisedView, 1, std::move(views), false }, at);
    }

    /// Returns a key whose owner in the first view is the VM `id`.
    job_key keyOwnedBy(const std::string& id) const
    {
        job_key key { { "kellari" }, "job", at.wall };
        for (int number = 0; rankMembers(first, key)[0].vm.id.value != id; ++number)
            key.name = "job" + std::to_string(number);
        return key;
    }

    static std::size_t voteCalls(const outputs& out)
    {
        return static_cast<std::size_t>(std::count_if(out.messages.begin(), out.messages.end(),
            [](const outgoing_message& entry) { return std::holds_alternative<vote_call>(entry.body); }));
    }

    input_time at { time_point(1h), wall_time(1796342400000ms) };
    claim_view first { 1, { memberOf("a"), memberOf("b"), memberOf("c") }, at.wall };
    claim_view second { 2, { memberOf("b"), memberOf("c") }, at.wall };
    claim_core core;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_member_of_a_view, member_of_three)

BOOST_AUTO_TEST_CASE(grants_a_claim_with_the_votes_of_the_owner_and_its_own)
{
    const job_key key = keyOwnedBy("b");
    const outputs requested = core.submit({ key, 5, false }, caller_token { 1 }, at);
    BOOST_REQUIRE_EQUAL(requested.messages.size(), 1U);
    const auto& call = std::get<vote_call>(requested.messages[0].body);
    BOOST_TEST(requested.messages[0].address == "b");
    const outputs granted
        = core.receive(vote_reply { memberOf("b").vm, 1, key, call.record.holder, vote_status::recorded, std::nullopt }, at);
    BOOST_REQUIRE_EQUAL(granted.decisions.size(), 1U);
    BOOST_REQUIRE(granted.decisions[0].decision);
    BOOST_TEST(granted.decisions[0].decision->granted());
    BOOST_TEST(granted.decisions[0].decision->epoch == 1U);
}

BOOST_AUTO_TEST_CASE(ignores_a_grant_after_giving_up)
{
    const job_key key = keyOwnedBy("b");
    const outputs requested = core.submit({ key, 5, false }, caller_token { 1 }, at);
    const auto holder = std::get<vote_call>(requested.messages[0].body).record.holder;
    at.now += 2s;
    const outputs expired = core.tick(at);
    BOOST_REQUIRE_EQUAL(expired.decisions.size(), 1U);
    BOOST_TEST((expired.decisions[0].decision.error().kind == error_kind::home_unreachable));
    BOOST_TEST(core.receive(claim_reply { key, holder, claim_status::granted, 1, std::nullopt }, at).decisions.empty());
}

BOOST_AUTO_TEST_CASE(requests_no_votes_once_it_knows_a_newer_view)
{
    const job_key key = keyOwnedBy("b");
    const outputs requested = core.submit({ key, 5, false }, caller_token { 1 }, at);
    const auto holder = std::get<vote_call>(requested.messages[0].body).record.holder;
    receiveHeartbeat("c", 2, { first, second });
    at.now += 60ms;
    BOOST_TEST(voteCalls(core.tick(at)) == 0U);
    const outputs late = core.receive(vote_reply { memberOf("b").vm, 1, key, holder, vote_status::recorded, std::nullopt }, at);
    BOOST_TEST(late.decisions.empty());
    BOOST_TEST(core.records() == 0U);
}

BOOST_AUTO_TEST_CASE(stops_voting_once_it_knows_a_newer_view)
{
    const job_key key = keyOwnedBy("a");
    const claim_record record { { memberOf("b").vm, 1 }, 5 };
    receiveHeartbeat("c", 2, { first, second });
    const outputs out = core.receive(vote_call { memberOf("b").vm, 1, key, record, {} }, at);
    BOOST_REQUIRE_EQUAL(out.messages.size(), 1U);
    BOOST_TEST((std::get<vote_reply>(out.messages[0].body).status == vote_status::stale));
}

BOOST_AUTO_TEST_CASE(stops_voting_when_its_log_lease_has_expired)
{
    const claim_record record { { memberOf("b").vm, 1 }, 5 };
    at.now += 15min;
    at.wall += 15min;
    const outputs out = core.receive(vote_call { memberOf("b").vm, 1, keyOwnedBy("a"), record, {} }, at);
    BOOST_TEST((std::get<vote_reply>(out.messages[0].body).status == vote_status::stale));
    BOOST_TEST(parseIssuedId(core.issueId(at))->isIssuerOnly());
}

BOOST_AUTO_TEST_CASE(refuses_an_id_that_is_too_old_or_too_far_ahead)
{
    const auto errorKindOf = [this](std::chrono::milliseconds shift) {
        const job_key key { { "kellari" }, "job", at.wall + shift };
        const outputs out = core.submit({ key, 5, false }, caller_token { 1 }, at);
        return out.decisions.empty() ? std::optional<error_kind>() : out.decisions[0].decision.error().kind;
    };
    BOOST_TEST((errorKindOf(-10min - 1ms) == error_kind::job_id_expired));
    BOOST_TEST((errorKindOf(30s + 1ms) == error_kind::job_id_from_future));
    BOOST_TEST((errorKindOf(0ms) == std::nullopt));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// The VMs of domain "d" know another failure domain, which is the home of `key`.
struct member_that_knows_another_domain : member_of_three {
    member_that_knows_another_domain()
    {
        core.setFleet({ { { { "a" }, "a" }, { { "b" }, "b" }, { { "c" }, "c" } }, { { { "e" }, { "x" } } } });
        const std::vector<failure_domain_id> domains { { "d" }, { "e" } };
        for (int number = 0; homeDomainOf(key, domains).value != "e" || rankMembers(first, key)[0].vm.id.value != "a"; ++number)
            key.name = "job" + std::to_string(number);
    }

    job_key key { { "kellari" }, "job", at.wall };
    const claim_record record { { memberOf("b").vm, 1 }, 5 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_key_whose_home_is_another_domain, member_that_knows_another_domain)

// Guards against a second start: a VM that had not heard of the home yet took its own domain for it, and the members of that
// domain voted although they knew better.
BOOST_AUTO_TEST_CASE(gets_no_vote_for_a_vm_that_does_not_know_the_home)
{
    const outputs out = core.receive(vote_call { memberOf("b").vm, 1, key, record, {} }, at);
    BOOST_REQUIRE_EQUAL(out.messages.size(), 1U);
    BOOST_TEST((std::get<vote_reply>(out.messages[0].body).status == vote_status::stale));
    BOOST_TEST(core.records() == 0U);
}

BOOST_AUTO_TEST_CASE(is_not_claimed_for_a_vm_that_does_not_know_the_home)
{
    BOOST_TEST(core.receive(claim_call { key, record, {}, false }, at).messages.empty());
    BOOST_TEST(core.records() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
