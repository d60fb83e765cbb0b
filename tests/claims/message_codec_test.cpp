// Encoding of claim messages and issued ids, and the quorums and ranking of claim views.
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "claims/issued_id.h"
#include "claims/message_codec.h"

using namespace coriandermount;
using namespace coriandermount::claims;

namespace {

claim_view viewOf(std::size_t members)
{
    claim_view view;
    view.number = 7;
    view.createdAt = wall_time(std::chrono::milliseconds(1796342400123));
    for (std::size_t index = 0; index < members; ++index) {
        const std::string id = "vm" + std::to_string(index);
        view.members.push_back({ { { id }, index, id + ":7401" }, "rack" + std::to_string(index % 2) });
    }
    return view;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_batch_of_messages)

BOOST_AUTO_TEST_CASE(is_decoded_as_it_was_encoded)
{
    const job_key key { { "kellari" }, "job", wall_time(std::chrono::milliseconds(1796342400000)) };
    const attempt_ref attempt { { { "vm1" }, 3, "127.0.0.1:1" }, 9 };
    const claim_record record { attempt, 18446744073709551615U };
    const message_batch sent { "127.0.0.1:1",
        { view_heartbeat { attempt.runner, "rack", { "domain" }, 7, 6, { viewOf(3) }, true },
            claim_call { key, record, { attempt }, true }, claim_reply { key, attempt, claim_status::held, 4, record },
            vote_call { attempt.runner, 7, key, record, {} },
            vote_reply { attempt.runner, 7, key, attempt, vote_status::recorded, std::nullopt },
            lookup_call { attempt.runner, 6, key, attempt }, lookup_reply { attempt.runner, 6, key, attempt, record },
            release_call { key, attempt }, status_call { key, attempt, attempt },
            status_reply { key, attempt, attempt, attempt_status::answered, "{\"text\":\"\\u0000\"}" } } };
    const auto received = decodeBatch(encodeBatch(sent));
    BOOST_REQUIRE(received);
    BOOST_REQUIRE_EQUAL(received->messages.size(), std::variant_size_v<message>);
    BOOST_TEST(encodeBatch(*received) == encodeBatch(sent));
    BOOST_TEST((std::get<view_heartbeat>(received->messages[0]).views[0] == viewOf(3)));
    BOOST_TEST((std::get<claim_reply>(received->messages[2]).holder == record));
}

BOOST_AUTO_TEST_CASE(with_a_damaged_byte_is_rejected_or_decoded_to_one_message)
{
    const std::string whole
        = encodeBatch({ "a", { view_heartbeat { { { "vm1" }, 3, "b" }, "r", { "d" }, 7, 6, { viewOf(2) }, true } } });
    BOOST_TEST(rc::check("one byte replaced", [&whole] {
        std::string damaged = whole;
        damaged[*rc::gen::inRange<std::size_t>(0, whole.size())] = *rc::gen::arbitrary<char>();
        if (const auto batch = decodeBatch(damaged))
            RC_ASSERT(batch->messages.size() == 1U);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_claim_view)

BOOST_AUTO_TEST_CASE(has_intersecting_quorums)
{
    for (std::size_t members = 1; members <= 9; ++members) {
        BOOST_TEST(2 * claimQuorum(members) > members);
        BOOST_TEST(claimQuorum(members) + closeQuorum(members) > members);
    }
}

BOOST_AUTO_TEST_CASE(ranks_a_vm_of_another_rack_second)
{
    BOOST_TEST(rc::check("owner and second", [] {
        const claim_view view = viewOf(*rc::gen::inRange<std::size_t>(3, 9));
        const job_key key { { "kellari" }, *rc::gen::arbitrary<std::string>(), {} };
        const auto ranked = rankMembers(view, key);
        RC_ASSERT(ranked.size() == view.members.size());
        RC_ASSERT(ranked[0].rack != ranked[1].rack);
    }));
}

BOOST_AUTO_TEST_CASE(without_one_member_keeps_the_owners_of_all_other_keys)
{
    const claim_view before = viewOf(5);
    claim_view after = before;
    after.members.pop_back();
    for (int number = 0; number < 200; ++number) {
        const job_key key { { "kellari" }, std::to_string(number), {} };
        const auto owner = rankMembers(before, key)[0];
        if (owner != before.members.back())
            BOOST_TEST((rankMembers(after, key)[0] == owner));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_issued_id)

BOOST_AUTO_TEST_CASE(contains_its_home_domain)
{
    const issued_id id { { "domain-2" }, 12, { "entry-1" }, 1796342400000, 44 };
    BOOST_TEST((parseIssuedId(formatIssuedId(id)) == id));
    const std::vector<failure_domain_id> domains { { "domain-1" }, { "domain-2" } };
    BOOST_TEST(homeDomainOf({ { "kellari" }, formatIssuedId(id), {} }, domains).value == "domain-2");
}

BOOST_AUTO_TEST_CASE(is_distinguished_from_ids_of_callers)
{
    for (const auto* name : { "", "i", "job", "i:a:b:c:d:e", "i:d:1:vm:2", "i:d:1:vm:2:3:4", "x:d:1:vm:2:3", "i:d:-1:vm:2:3" })
        BOOST_TEST(!parseIssuedId(name));
}

BOOST_AUTO_TEST_SUITE_END()
