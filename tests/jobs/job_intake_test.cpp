// Checks when submissions are refused or retried while the record store does not answer, in virtual time.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "jobs/job_intake.h"
#include "tests/fakes/memory_record_store.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Record store that tells `contact` of its calls, as that of the platform does.
struct watched_store final : jobs::record_store {
    memory_record_store records;
    jobs::store_contact& contact;
    store_fault fault = store_fault::none;
    std::size_t appends = 0;

    watched_store(virtual_loop& loop, jobs::store_contact& calls)
        : records(loop)
        , contact(calls)
    {
    }

    template <class Answer> std::function<void(Answer)> noted(std::function<void(Answer)> done)
    {
        const bool isAnswered = fault == store_fault::none || fault == store_fault::refuses_requests;
        return [this, isAnswered, number = contact.noteCall(0ms), done = std::move(done)](Answer answer) {
            if (isAnswered)
                contact.noteAnswer(number);
            else
                contact.noteFailure(number);
            done(std::move(answer));
        };
    }

    void append(jobs::append_request request, append_completion done) override
    {
        ++appends;
        records.append(request, fault, noted<result<std::uint64_t>>(std::move(done)));
    }
    void read(
        const jobs::record_stream& stream, std::uint64_t from, std::chrono::milliseconds wait, read_completion done) override
    {
        records.read(stream, from, wait, fault, noted<result<jobs::record_batch>>(std::move(done)));
    }
    void readNewest(const jobs::record_stream& stream, read_completion done) override
    {
        records.readNewest(stream, fault, noted<result<jobs::record_batch>>(std::move(done)));
    }
};

/// VM that stores jobs.
struct storing_vm {
    /// Answer to a submission, and how long its caller waited for it.
    struct recorded_answer {
        result<void> answer;
        std::chrono::nanoseconds took {};
    };

    void runFor(std::chrono::milliseconds duration)
    {
        constexpr auto tickInterval = 20ms;
        for (auto passed = 0ms; passed < duration; passed += tickInterval) {
            contact.tick(store, { "vms", 0 });
            intake.tick();
            loop.runFor(tickInterval);
        }
    }

    void submit(const std::string& jobId)
    {
        jobs::accepted_job accepted;
        accepted.work.id = jobId;
        intake.store(accepted, [this, jobId, sentAt = loop.now()](const result<void>& answer) {
            answers[jobId].push_back({ answer, loop.now() - sentAt });
        });
    }

    /// Makes the store silent, with a submission that finds that out.
    void silenceStore(store_fault fault)
    {
        store.fault = fault;
        submit("first");
        runFor(1200ms);
    }

    bool isStored(const std::string& jobId)
    {
        bool found = false;
        store.records.readNewest({ "jobs", 0 }, store_fault::none, [&](const result<jobs::record_batch>& batch) {
            found = std::any_of(batch->records.begin(), batch->records.end(),
                [&](const auto& current) { return current.key == jobs::acceptedKey(jobId); });
        });
        loop.runFor(100ms);
        return found;
    }

    virtual_loop loop;
    jobs::store_contact contact { loop };
    watched_store store { loop, contact };
    jobs::job_intake intake { store, loop, { "jobs", 0 }, contact };
    std::map<std::string, std::vector<recorded_answer>> answers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(submissions_while_the_store_is_silent, storing_vm)

BOOST_AUTO_TEST_CASE(are_refused_at_once_and_never_run)
{
    // Guards against callers that waited until their deadline, 3.2 s at most, for a store that was known not to answer.
    silenceStore(store_fault::drops_requests);
    for (int number = 0; number < 50; ++number) {
        const auto appends = store.appends;
        const auto jobId = fmt::to_string(number);
        submit(jobId);
        BOOST_REQUIRE(answers[jobId].size() == 1);
        BOOST_TEST((answers[jobId][0].took == 0ns));
        BOOST_TEST((answers[jobId][0].answer.error().kind == error_kind::log_unavailable));
        BOOST_TEST(answers[jobId][0].answer.error().retryAfter.has_value());
        BOOST_TEST(store.appends == appends);
        runFor(100ms);
    }
    store.fault = store_fault::none;
    runFor(5s);
    BOOST_TEST(!isStored("0"));
    BOOST_TEST(!isStored("49"));
}

BOOST_AUTO_TEST_CASE(are_not_called_not_run_if_an_earlier_one_may_be_stored)
{
    // Guards against a false refusal: the job of a repeat is stored by the first submission, whose answer was lost.
    silenceStore(store_fault::drops_answers);
    submit("first");
    BOOST_REQUIRE(answers["first"].size() == 1);
    runFor(4s);
    submit("first");
    BOOST_REQUIRE(answers["first"].size() == 3);
    for (const auto& current : answers["first"])
        BOOST_TEST((current.answer.error().kind == error_kind::log_answer_lost));
    BOOST_TEST(isStored("first"));
}

BOOST_AUTO_TEST_CASE(are_stored_again_soon_after_it_answers)
{
    constexpr auto noticeLimit = 600ms;
    silenceStore(store_fault::drops_requests);
    runFor(5s);
    BOOST_REQUIRE(contact.silence().has_value());
    store.fault = store_fault::none;
    runFor(noticeLimit);
    submit("a");
    runFor(100ms);
    BOOST_REQUIRE(answers["a"].size() == 1);
    BOOST_TEST(answers["a"][0].answer.has_value());
}

BOOST_AUTO_TEST_CASE(are_refused_although_a_long_poll_of_before_is_answered)
{
    // Guards against a break of a second in the refusals: the answer to a long poll from before the silence was taken for its
    // end.
    const auto poll = contact.noteCall(2s);
    runFor(200ms);
    silenceStore(store_fault::drops_requests);
    contact.noteAnswer(poll);
    submit("a");
    BOOST_REQUIRE(answers["a"].size() == 1);
    BOOST_TEST((answers["a"][0].answer.error().kind == error_kind::log_unavailable));
}

BOOST_AUTO_TEST_CASE(are_cancelled_by_no_call_that_would_have_to_wait)
{
    silenceStore(store_fault::drops_requests);
    std::vector<result<void>> cancellations;
    intake.cancel("a", [&](const result<void>& answer) { cancellations.push_back(answer); });
    BOOST_REQUIRE(cancellations.size() == 1);
    BOOST_TEST((cancellations[0].error().kind == error_kind::log_unavailable));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(submissions_are_not_refused, storing_vm)

BOOST_AUTO_TEST_CASE(because_of_one_call_without_an_answer)
{
    store.fault = store_fault::drops_requests;
    submit("a");
    store.fault = store_fault::none;
    for (int number = 0; number < 30; ++number) {
        runFor(100ms);
        const auto jobId = fmt::to_string(number);
        submit(jobId);
        runFor(100ms);
        BOOST_REQUIRE(answers[jobId].size() == 1);
        BOOST_TEST(answers[jobId][0].answer.has_value());
    }
    BOOST_TEST(answers["a"][0].answer.has_value());
}

BOOST_AUTO_TEST_CASE(because_the_store_is_slow)
{
    for (const auto answerTime : { 200ms, 500ms, 900ms }) {
        store.records.setAnswerTime(answerTime);
        for (int number = 0; number < 30; ++number) {
            submit(fmt::format("{} {}", answerTime.count(), number));
            runFor(number % 3 == 0 ? 100ms : 300ms);
        }
        runFor(2s);
        for (int number = 0; number < 30; ++number) {
            const auto& received = answers[fmt::format("{} {}", answerTime.count(), number)];
            BOOST_REQUIRE(received.size() == 1);
            BOOST_TEST(received[0].answer.has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(because_the_vm_itself_was_paused)
{
    store.fault = store_fault::drops_requests;
    submit("a");
    submit("b");
    loop.runFor(5s);
    store.fault = store_fault::none;
    contact.tick(store, { "vms", 0 });
    BOOST_TEST(!contact.silence().has_value());
    submit("c");
    runFor(100ms);
    BOOST_REQUIRE(answers["c"].size() == 1);
    BOOST_TEST(answers["c"][0].answer.has_value());
}

BOOST_AUTO_TEST_CASE(because_long_polls_have_nothing_to_answer)
{
    contact.noteCall(2s);
    contact.noteCall(2s);
    runFor(2200ms);
    BOOST_TEST(!contact.isDoubtful());
    BOOST_TEST(!contact.silence().has_value());
    BOOST_TEST(store.appends == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
