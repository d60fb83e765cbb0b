// The budget for request bodies leaves room for small requests and for other sources, and gets back what it has given.
#include <memory>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "net/body_budget.h"

using namespace coriandermount::net;

namespace {

constexpr body_budget_limits limits { .total = 1000, .large = 500, .largePerSource = 250, .smallBody = 20 };
constexpr body_budget::source first = 1;
constexpr body_budget::source second = 2;
constexpr body_budget::source third = 3;

using claim_pointer = std::unique_ptr<body_budget::claim>;

claim_pointer claimOf(body_budget& budget, body_budget::source client)
{
    return std::make_unique<body_budget::claim>(budget, client);
}

bool isRefused(const std::optional<body_refusal>& answer, body_refusal reason) { return answer == reason; }

} // namespace

BOOST_AUTO_TEST_SUITE(a_body_budget)

BOOST_AUTO_TEST_CASE(limits_the_large_bodies_of_one_source)
{
    body_budget budget(limits);
    const auto held = claimOf(budget, first);
    const auto other = claimOf(budget, first);
    BOOST_TEST(!held->raise(200));
    BOOST_TEST(isRefused(other->raise(51), body_refusal::source_memory));
    BOOST_TEST(!other->raise(50));
    BOOST_TEST(!claimOf(budget, second)->raise(250));
}

// Guards against a crowd with large bodies that locks out the callers whose requests are small.
BOOST_AUTO_TEST_CASE(leaves_room_for_small_bodies_that_large_ones_can_not_use)
{
    body_budget budget(limits);
    const auto one = claimOf(budget, first);
    const auto two = claimOf(budget, second);
    const auto three = claimOf(budget, third);
    BOOST_TEST(!one->raise(250));
    BOOST_TEST(!two->raise(250));
    BOOST_TEST(isRefused(three->raise(21), body_refusal::memory));
    std::vector<claim_pointer> small;
    for (int count = 0; count < 25; ++count) {
        small.push_back(claimOf(budget, first));
        BOOST_TEST(!small.back()->raise(20));
    }
    BOOST_TEST(isRefused(three->raise(1), body_refusal::memory));
    BOOST_TEST(budget.claimedBytes() == 1000U);
}

BOOST_AUTO_TEST_CASE(keeps_a_claim_as_it_was_when_it_refuses_to_raise_it)
{
    body_budget budget(limits);
    const auto claim = claimOf(budget, first);
    BOOST_TEST(!claim->raise(10));
    BOOST_TEST(isRefused(claim->raise(251), body_refusal::source_memory));
    BOOST_TEST(budget.claimedBytes() == 10U);
    claim->release();
    BOOST_TEST(budget.claimedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(allows_each_listener_its_largest_body_however_little_memory_there_is)
{
    constexpr std::size_t longest = 262144;
    body_budget budget(bodyBudgetLimits(1, longest));
    BOOST_TEST(!claimOf(budget, first)->raise(longest));
}

// Guards against a budget that shrinks, or grows, with the requests that have ended.
BOOST_AUTO_TEST_CASE(is_whole_again_when_all_claims_have_ended)
{
    BOOST_TEST(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint16_t>>& raises) {
        body_budget budget(limits);
        std::vector<claim_pointer> claims;
        for (const auto& [client, bytes] : raises) {
            if (claims.size() < 8)
                claims.push_back(claimOf(budget, client % 4));
            claims[client % claims.size()]->raise(bytes % 300);
            RC_ASSERT(budget.claimedBytes() <= limits.total);
        }
        claims.clear();
        RC_ASSERT(budget.claimedBytes() == 0U);
        RC_ASSERT(!claimOf(budget, first)->raise(limits.largePerSource));
    }));
}

BOOST_AUTO_TEST_CASE(accounts_the_claims_of_several_threads)
{
    body_budget budget(limits);
    std::vector<std::thread> threads;
    for (body_budget::source client = 0; client < 4; ++client) {
        threads.emplace_back([&budget, client] {
            for (std::size_t round = 0; round < 10000; ++round)
                claimOf(budget, client)->raise(round % 300);
        });
    }
    for (auto& thread : threads)
        thread.join();
    BOOST_TEST(budget.claimedBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
