// Checks that the ownership of a cell is verified in every state of the store, so that a lost run is started again once and only
// once it is known that no other owner has taken over.
#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t epoch = 2;

/// An owner whose long polls of the records are not answered from `isolate` on, so that only the verification reads the records.
/// The worker that runs its task cannot be reached from then on.
struct unverified_owner : single_owner {
    unverified_owner()
    {
        workers.add("worker-1", "0", 16000);
        workers.add("worker-2", "0", 16000);
        owner.onSuperseded([this] { superseded = true; });
        owner.takeOver({ epoch, false });
        owner.setWorkers(workers.registrations("0"));
        runFor(4s);
        auto submitted = request(epoch, "a", 1, 6s);
        submitted.accepted.objective = 60s;
        submitted.timeLeft = 60s;
        run(std::move(submitted));
        runFor(400ms);
        BOOST_REQUIRE(workers.runs().size() == 1);
    }

    void isolate()
    {
        longPollsAreLost = true;
        workers.faults(workers.runs().back().worker.value).partitioned = true;
    }

    /// Appends records that say nothing about the ownership.
    void appendOthers(int number)
    {
        jobs::append_request request;
        request.stream = { "jobs", 0 };
        for (int index = 0; index < number; ++index)
            request.records.push_back({ "z" + std::to_string(index), "1", 0 });
        records.append(request, store_fault::none, [](const auto&) {});
        loop.runFor(10ms);
    }

    /// Stores the owner record of a successor.
    void supersede()
    {
        jobs::append_request mark;
        mark.stream = { "jobs", 0 };
        mark.records.push_back({ jobs::ownerKey(), jobs::encodeOwner(epoch + 1), 0 });
        mark.from = jobs::writer { "owner", epoch + 1, 0 };
        records.append(mark, store_fault::none, [](const auto&) {});
        loop.runFor(10ms);
    }

    void append(jobs::append_request request, append_completion done) override { records.append(request, fault, done); }
    void read(
        const jobs::record_stream& stream, std::uint64_t from, std::chrono::milliseconds wait, read_completion done) override
    {
        records.read(stream, from, wait, fault, [this, wait, done](result<jobs::record_batch> answer) {
            if (wait > 0ms && longPollsAreLost) {
                loop.after(longPollTimeout, [done] { done(fail(error_kind::log_unavailable, "no answer in time")); });
                return;
            }
            if (answer && answer->records.size() > recordsPerAnswer)
                answer->records.resize(recordsPerAnswer);
            done(std::move(answer));
        });
    }
    void readNewest(const jobs::record_stream& stream, read_completion done) override { records.readNewest(stream, fault, done); }

    void expectStarts(std::size_t number)
    {
        for (const auto& violation : workers.violations())
            BOOST_ERROR(violation);
        BOOST_TEST(workers.runs().size() == number);
    }

    /// Expects that the task starts again once the store has returned, and not before.
    void expectStartOnlyAfter(store_fault outage)
    {
        fault = outage;
        isolate();
        runFor(4s);
        expectStarts(1);
        fault = store_fault::none;
        runFor(1700ms);
        expectStarts(2);
        BOOST_TEST(!superseded);
    }

    static constexpr auto longPollTimeout = 1s;
    store_fault fault = store_fault::none;
    bool longPollsAreLost = false;
    std::size_t recordsPerAnswer = 1000;
    bool superseded = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_verification_of_an_owner, unverified_owner)

BOOST_AUTO_TEST_CASE(waits_for_a_store_that_refuses_requests_and_succeeds_when_it_returns)
{
    expectStartOnlyAfter(store_fault::refuses_requests);
}

BOOST_AUTO_TEST_CASE(waits_for_a_store_that_does_not_answer_and_succeeds_when_it_returns)
{
    expectStartOnlyAfter(store_fault::drops_requests);
}

BOOST_AUTO_TEST_CASE(ends_the_term_when_a_store_that_returns_names_a_successor)
{
    fault = store_fault::drops_requests;
    isolate();
    runFor(2s);
    supersede();
    fault = store_fault::none;
    runFor(2s);
    expectStarts(1);
    BOOST_TEST(superseded);
}

// Guards against a task that waits without an end: the verification read the same truncated answer again and again.
BOOST_AUTO_TEST_CASE(reads_on_after_a_truncated_answer)
{
    isolate();
    appendOthers(20);
    recordsPerAnswer = 3;
    runFor(3s);
    expectStarts(2);
}

BOOST_AUTO_TEST_CASE(finds_a_successor_after_a_truncated_answer)
{
    isolate();
    appendOthers(20);
    supersede();
    recordsPerAnswer = 3;
    runFor(3s);
    expectStarts(1);
    BOOST_TEST(superseded);
}

// Guards against a task that waits without an end: the verification went on reading records that are not kept any more.
BOOST_AUTO_TEST_CASE(reads_the_newest_records_when_the_next_ones_have_expired)
{
    isolate();
    appendOthers(5);
    records.compact();
    runFor(3s);
    expectStarts(2);
    // The records after those are read from their offset again.
    records.compact();
    runFor(1s);
    BOOST_TEST(!superseded);
}

BOOST_AUTO_TEST_CASE(finds_a_successor_among_the_newest_records)
{
    isolate();
    supersede();
    appendOthers(5);
    records.compact();
    runFor(3s);
    expectStarts(1);
    BOOST_TEST(superseded);
}

BOOST_AUTO_TEST_SUITE_END()
