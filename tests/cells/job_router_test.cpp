// Checks that a caller is told that its job has not run only if that holds for every owner that the job was sent to.
#include <boost/test/unit_test.hpp>

#include "cells/job_router.h"
#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// A job that was sent to the owner of epoch 1.
struct routed_job : cells::owner_link {
    routed_job()
    {
        router.run(local.request(0, "a", 1, 100ms), [this](const result<jobs::job_state>& answer) { answers.push_back(answer); });
        BOOST_REQUIRE(requests.size() == 1);
    }

    void run(const std::string&, const jobs::run_request& request, cells::job_completion done) override
    {
        requests.push_back(request);
        pending = std::move(done);
    }
    void withdraw(const std::string&, const std::string&, const jobs::request_id&, cells::withdrawal_reason) override { }
    void sendKeepAlive(const std::string& address, const cells::keep_alive& current) override
    {
        keepAlives.emplace_back(address, current);
    }
    void queryLentJobs(const std::string&, jobs::lender, std::function<void(cells::lent_report)>) override { }
    void queryPending(const std::string&, const std::string&, cells::pending_completion) override { }

    /// Sends the job to the owner of `epoch`.
    void sendTo(std::uint64_t epoch)
    {
        const std::size_t before = requests.size();
        target.epoch = epoch;
        local.loop.runFor(100ms);
        router.tick();
        BOOST_REQUIRE(requests.size() == before + 1);
    }

    single_owner local;
    cells::run_target target { false, "owner", 1 };
    /// Called each time that the router asks for the owner, as a thread does that runs then.
    std::function<void()> onTarget = [] {};
    cells::job_router router { local.loop, local.owner, *this, [this] {
                                  onTarget();
                                  return std::optional(target);
                              } };
    std::vector<jobs::run_request> requests;
    std::vector<std::pair<std::string, cells::keep_alive>> keepAlives;
    cells::job_completion pending;
    std::vector<result<jobs::job_state>> answers;
};

/// A job that was sent to the owner of epoch 1, and the requests that were withdrawn since.
struct withdrawn_job : routed_job {
    void withdraw(
        const std::string& address, const std::string&, const jobs::request_id& request, cells::withdrawal_reason reason) override
    {
        reasons.push_back(reason);
        withdrawals.emplace_back(address, request);
    }

    std::vector<std::pair<std::string, jobs::request_id>> withdrawals;
    std::vector<cells::withdrawal_reason> reasons;
};

outcome outcomeOf(const result<jobs::job_state>& answer) { return answer ? outcome::done : rowOf(answer.error().kind).result; }

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_refused_job, routed_job)

BOOST_AUTO_TEST_CASE(has_not_run_if_it_was_sent_once)
{
    pending(fail(error_kind::overloaded));
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((answers[0].error().kind == error_kind::overloaded));
}

BOOST_AUTO_TEST_CASE(may_have_run_if_an_earlier_owner_did_not_answer)
{
    // Guards against a false refusal: the answer of the last owner was passed on although the first one may have started the job.
    pending(fail(error_kind::owner_unknown));
    sendTo(2);
    BOOST_TEST(requests.back().mayHaveStarted);
    pending(fail(error_kind::overloaded));
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((outcomeOf(answers[0]) == outcome::may_have_run));
}

BOOST_AUTO_TEST_CASE(may_have_run_if_an_earlier_request_to_the_same_owner_was_not_answered)
{
    // Guards against a false refusal: the first request may arrive after the second one was refused, and start the job.
    pending(fail(error_kind::owner_unknown));
    sendTo(1);
    pending(fail(error_kind::overloaded));
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((outcomeOf(answers[0]) == outcome::may_have_run));
}

BOOST_AUTO_TEST_CASE(may_have_run_if_its_caller_says_so)
{
    auto request = local.request(0, "b", 1, 100ms);
    request.mayHaveStarted = true;
    router.run(std::move(request), [this](const result<jobs::job_state>& answer) { answers.push_back(answer); });
    pending(fail(error_kind::overloaded));
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((outcomeOf(answers[0]) == outcome::may_have_run));
}

// Guards against 504 at once for a job that has not run: the refusal of a second request for it does not hold for the first
// (issue 47).
BOOST_AUTO_TEST_CASE(is_sent_once_if_a_tick_finds_it_before_it_is_sent)
{
    pending(fail(error_kind::overloaded));
    bool ticked = false;
    onTarget = [this, &ticked] {
        if (!std::exchange(ticked, true))
            router.tick();
    };
    router.run(local.request(0, "b", 1, 100ms), [this](const auto& answer) { answers.push_back(answer); });
    BOOST_TEST(requests.size() == 2U);
    pending(fail(error_kind::overloaded));
    BOOST_REQUIRE(answers.size() == 2);
    BOOST_TEST((outcomeOf(answers[1]) == outcome::not_run));
}

BOOST_AUTO_TEST_CASE(has_not_run_if_every_owner_refused_it)
{
    pending(fail(error_kind::claim_unavailable));
    sendTo(2);
    BOOST_TEST(!requests.back().mayHaveStarted);
    pending(fail(error_kind::overloaded));
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((answers[0].error().kind == error_kind::overloaded));
}

BOOST_AUTO_TEST_CASE(may_have_run_if_it_is_abandoned_after_an_owner_did_not_answer_and_the_next_did_not_accept_it)
{
    pending(fail(error_kind::owner_unknown));
    sendTo(2);
    pending(fail(error_kind::claim_unavailable));
    router.stop();
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((outcomeOf(answers[0]) == outcome::may_have_run));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_job_without_an_answer_at_its_deadline, withdrawn_job)

// Guards against a run that goes on although its caller was told that the job is given up: the owner that follows kept it (issue
// 41).
BOOST_AUTO_TEST_CASE(is_withdrawn_at_its_owner_and_at_the_next_one)
{
    local.loop.runFor(requests[0].timeLeft);
    router.tick();
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((outcomeOf(answers[0]) == outcome::may_have_run));
    BOOST_REQUIRE(withdrawals.size() == 1);
    BOOST_TEST(withdrawals[0].first == "owner");
    BOOST_TEST((withdrawals[0].second == requests[0].id));
    target = { false, "next owner", 2 };
    local.loop.runFor(100ms);
    router.tick();
    BOOST_REQUIRE(withdrawals.size() == 2);
    BOOST_TEST(withdrawals[1].first == "next owner");
    BOOST_TEST((withdrawals[1].second == requests[0].id));
}

// Guards against a run that the next owner keeps, although the owner before has told the caller that the job may have run (issue
// 50).
BOOST_AUTO_TEST_CASE(is_withdrawn_at_the_next_owner_if_its_owner_gave_it_up)
{
    pending(fail(error_kind::deadline_passed_while_running));
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST(withdrawals.empty());
    target = { false, "next owner", 2 };
    router.tick();
    BOOST_REQUIRE(withdrawals.size() == 1);
    BOOST_TEST(withdrawals[0].first == "next owner");
    BOOST_TEST((withdrawals[0].second == requests[0].id));
}

// Guards against a lent run that the next owner of the other cell keeps, although the home cell has given the job up (issue 50).
BOOST_AUTO_TEST_CASE(is_withdrawn_at_the_next_owner_of_the_cell_that_it_is_lent_to)
{
    auto request = local.request(0, "b", 1, 100ms);
    request.lentBy = jobs::lender { 0, 1 };
    router.run(std::move(request), [this](const auto& answer) { answers.push_back(answer); });
    router.withdrawJob("b", cells::withdrawal_reason::caller_left);
    BOOST_REQUIRE(withdrawals.size() == 1);
    // The ownership term of the home cell ends.
    router.dropAll();
    target = { false, "next owner", 2 };
    router.tick();
    BOOST_REQUIRE(withdrawals.size() == 2);
    BOOST_TEST(withdrawals[1].first == "next owner");
}

// Guards against a run that an owner keeps because it refused the job before it found the run, and is not told that the caller
// has left (issue 44).
BOOST_AUTO_TEST_CASE(is_withdrawn_at_an_owner_that_has_refused_it)
{
    pending(fail(error_kind::owner_unknown));
    sendTo(2);
    pending(fail(error_kind::claim_unavailable));
    router.endBy(local.loop.now());
    router.tick();
    BOOST_REQUIRE(answers.size() == 1);
    router.tick();
    BOOST_REQUIRE(withdrawals.size() == 1);
    BOOST_TEST(withdrawals[0].first == "owner");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_router_that_ends_its_jobs_by_a_time, withdrawn_job)

// Guards against jobs that are accepted although the VM ends before them (issue 44).
BOOST_AUTO_TEST_CASE(refuses_a_job_that_can_not_end_and_sends_it_to_no_owner)
{
    router.endBy(local.loop.now() + 1s);
    router.run(local.request(0, "b", 1, 1s), [this](const result<jobs::job_state>& answer) { answers.push_back(answer); });
    BOOST_TEST(requests.size() == 1U);
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((answers[0].error().kind == error_kind::shutting_down));
    BOOST_TEST(answers[0].error().retryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(does_not_say_of_a_job_that_may_have_run_that_it_has_not)
{
    router.endBy(local.loop.now() + 1s);
    auto request = local.request(0, "b", 1, 1s);
    request.mayHaveStarted = true;
    router.run(std::move(request), [this](const result<jobs::job_state>& answer) { answers.push_back(answer); });
    BOOST_TEST(requests.size() == 1U);
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((outcomeOf(answers[0]) == outcome::may_have_run));
}

BOOST_AUTO_TEST_CASE(gives_owners_no_more_time_than_that)
{
    router.endBy(local.loop.now() + 1s);
    sendTo(2);
    BOOST_TEST(requests.back().timeLeft.count() == 900);
    router.run(local.request(0, "b", 1, 100ms), [](const auto&) {});
    BOOST_TEST(requests.back().timeLeft.count() == 900);
}

// Guards against runs of a stopped VM that nobody tells the next owner of (issue 44).
BOOST_AUTO_TEST_CASE(withdraws_what_has_not_ended_until_the_runs_are_stopped)
{
    router.endBy(local.loop.now() + 1s);
    local.loop.runFor(1s);
    router.tick();
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST((answers[0].error().kind == error_kind::shutdown_limit_reached));
    BOOST_TEST(withdrawals.size() == 1U);
    BOOST_TEST(router.waiting() == 0U);
    BOOST_TEST(router.unsettledWithdrawals() == 1U);
    target.epoch = 2;
    router.tick();
    BOOST_TEST(withdrawals.size() == 2U);
    local.loop.runFor(2s);
    router.tick();
    BOOST_TEST(router.unsettledWithdrawals() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_withdrawal, withdrawn_job)

BOOST_AUTO_TEST_CASE(says_whether_the_caller_has_left_or_was_answered)
{
    const auto number = router.run(local.request(0, "b", 1, 100ms), [](const auto&) {});
    router.withdraw(number);
    BOOST_REQUIRE(reasons.size() == 1);
    BOOST_TEST((reasons[0] == cells::withdrawal_reason::caller_left));
    local.loop.runFor(requests[0].timeLeft);
    router.tick();
    BOOST_REQUIRE(reasons.size() == 2);
    BOOST_TEST((reasons[1] == cells::withdrawal_reason::answered));
    target.epoch = 2;
    local.loop.runFor(100ms);
    router.tick();
    BOOST_REQUIRE(reasons.size() == 3);
    BOOST_TEST((reasons[2] == cells::withdrawal_reason::answered));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_keep_alive, withdrawn_job)

// Guards against owners that take callers for waiting because nothing tells them otherwise (issue 53).
BOOST_AUTO_TEST_CASE(names_the_requests_whose_callers_wait)
{
    const auto number = router.run(local.request(0, "b", 1, 100ms), [](const auto&) {});
    BOOST_TEST(requests[0].keptAlive);
    local.loop.runFor(200ms);
    router.tick();
    BOOST_REQUIRE(keepAlives.size() == 1);
    BOOST_TEST(keepAlives[0].first == "owner");
    BOOST_TEST(keepAlives[0].second.sender == requests[0].id.sender);
    BOOST_TEST((keepAlives[0].second.requests == std::vector { requests[0].id.number, requests[1].id.number }));
    router.withdraw(number);
    local.loop.runFor(100ms);
    router.tick();
    BOOST_REQUIRE(keepAlives.size() == 2);
    BOOST_TEST((keepAlives[1].second.requests == std::vector { requests[0].id.number }));
}

BOOST_AUTO_TEST_CASE(is_not_sent_if_no_owner_has_a_request)
{
    pending(fail(error_kind::owner_unknown));
    local.loop.runFor(10ms);
    router.tick();
    BOOST_TEST(keepAlives.empty());
}

BOOST_AUTO_TEST_CASE(goes_to_the_owner_that_has_the_requests)
{
    sendTo(2);
    target.address = "next owner";
    local.loop.runFor(100ms);
    router.tick();
    BOOST_TEST(keepAlives.empty());
    local.loop.runFor(100ms);
    router.tick();
    BOOST_REQUIRE(keepAlives.size() == 1);
    BOOST_TEST(keepAlives[0].first == "next owner");
    BOOST_TEST((keepAlives[0].second.requests == std::vector { requests[1].id.number }));
}

// Guards against keep-alives for callers that left while the VM did not run and did not notice (issue 53).
BOOST_AUTO_TEST_CASE(is_not_sent_just_after_a_pause)
{
    router.tick();
    local.loop.runFor(700ms);
    router.tick();
    BOOST_TEST(keepAlives.empty());
    local.loop.runFor(100ms);
    router.tick();
    BOOST_TEST(keepAlives.size() == 1U);
}

// Guards against keep-alives for callers that left in a shorter gap, and against none at all from a VM whose ticks are all late.
BOOST_AUTO_TEST_CASE(is_not_sent_just_after_a_gap_unless_all_ticks_are_late)
{
    router.tick();
    local.loop.runFor(300ms);
    router.tick();
    BOOST_TEST(keepAlives.empty());
    local.loop.runFor(300ms);
    router.tick();
    BOOST_TEST(keepAlives.size() == 1U);
    local.loop.runFor(300ms);
    router.tick();
    BOOST_TEST(keepAlives.size() == 2U);
}

BOOST_AUTO_TEST_CASE(is_split_if_it_would_not_fit_into_a_datagram)
{
    for (std::size_t number = 0; number < cells::mostRequestsKeptAlive; ++number)
        router.run(local.request(0, "of-many-" + std::to_string(number), 1, 100ms), [](const auto&) {});
    local.loop.runFor(200ms);
    router.tick();
    BOOST_REQUIRE(keepAlives.size() == 2);
    BOOST_TEST(keepAlives[0].second.requests.size() == cells::mostRequestsKeptAlive);
    BOOST_TEST(keepAlives[1].second.requests.size() == 1U);
    BOOST_TEST(cells::encode(keepAlives[0].second).size() < 1400U);
}

BOOST_AUTO_TEST_SUITE_END()
