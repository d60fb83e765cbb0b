// Checks that an owner does not take a task as ended, or as never started, because it does not know what other owners did.
#include <boost/test/unit_test.hpp>

#include "tests/fakes/fleet_checks.h"
#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Time after which a caller submits a job again that was not answered.
constexpr auto resubmissionDelay = 1300ms;

/// Two cells, the first of which is fully used and has given up a job at the time limit of its caller. The runs of that job go
/// on, because the workers have not received the stop orders.
struct job_that_was_given_up {
    job_that_was_given_up()
    {
        fleet.runFor(2s);
        home = fleet.owner(0);
        fleet.run(home, "long", 4, 4s);
        fleet.run(home, "given-up", 2, 5s, 600ms);
        fleet.runFor(100ms);
        setStopDelay(3s);
        fleet.runFor(resubmissionDelay);
        BOOST_REQUIRE(fleet.answers.size() == 1);
        BOOST_REQUIRE((rowOf(fleet.answers[0].answer.error().kind).result == outcome::may_have_run));
        BOOST_REQUIRE(fleet.counterValues(home).lentJobs == 0);
    }

    void setStopDelay(std::chrono::milliseconds delay)
    {
        for (unsigned number = 0; number < 3; ++number)
            fleet.workers.faults(cell_fleet::workerName(0, number)).orderDelay = delay;
    }

    cell_fleet fleet { 2, 3, 3 };
    std::string home;
};

constexpr std::uint64_t epoch = 2;

/// Two workers, of which the first runs a task that an earlier owner has started.
struct run_of_an_earlier_owner : single_owner {
    run_of_an_earlier_owner()
    {
        workers.add(first.value, "0", 16000);
        workers.add("worker-2", "0", 16000);
        workers.start(first, earlierOrder, [](const auto&) {});
        loop.runFor(5ms);
        owner.takeOver({ epoch, false });
        owner.setWorkers(workers.registrations("0"));
    }

    /// Renews the lease on behalf of the earlier owner, as long as the worker has not seen the token of the new one.
    void renewLease()
    {
        const auto workerClock = std::chrono::duration_cast<cells::worker_time>(loop.now() - startedAt);
        workers.poll(first, { epoch - 1, 0, workerClock + leaseLength, true, 0ms }, [](const auto&) {});
    }

    void resubmit()
    {
        auto resubmitted = request(epoch, "a", 1, 6s);
        resubmitted.mayHaveStarted = true;
        resubmitted.timeLeft = 20s;
        run(resubmitted);
    }

    void expectNoConcurrentRuns() const
    {
        for (const auto& violation : workers.violations())
            BOOST_ERROR(violation);
    }

    static constexpr std::chrono::milliseconds leaseLength { 1000 };
    const worker_id first { "worker-1" };
    const time_point startedAt = loop.now();
    const cells::start_order earlierOrder { { "a", 0, 0, 0 }, 1, "6000", leaseLength, epoch - 1, {} };
};

/// The new owner reaches the first worker once only; the worker is removed right after that.
struct worker_that_answers_once : run_of_an_earlier_owner {
    void poll(
        const cells::worker_registration& worker, const cells::poll_order& order, completion<cells::poll_answer> done) override
    {
        constexpr auto pollTimeout = 300ms;
        if (worker.id != first) {
            workers.poll(worker.id, order, done);
        } else if (!reachable) {
            loop.after(pollTimeout, [done] { done(tl::unexpected(cells::order_failure::no_answer)); });
        } else {
            reachable = false;
            workers.poll(worker.id, order, [this, done](const auto& answer) {
                done(answer);
                loop.after(1ms, [this] { owner.removeWorker(first); });
            });
        }
    }

    bool reachable = false;
};

/// Other cells without free capacity, whose owners have announced their epochs.
struct announced_epochs : cells::neighbor_cells {
    std::optional<cells::cell_number> reserveCapacity(const service_id&, std::int64_t) override { return std::nullopt; }
    bool hasOwnerlessCell(const std::set<cells::cell_number>&) const override { return false; }
    std::optional<cells::cell_number> chooseCell(const cells::relocation_need&, const std::set<cells::cell_number>&) override
    {
        return std::nullopt;
    }
    void run(cells::cell_number, jobs::run_request, cells::job_completion) override { }
    void withdraw(cells::cell_number, const std::string&, cells::withdrawal_reason) override { }
    void queryLentJobs(std::uint64_t, std::function<void(const cells::lent_jobs&, bool)> done) override { done({}, true); }
    void forgetLentJobs() override { }
    std::uint64_t announcedEpoch(cells::cell_number cell) const override { return epochs.at(cell); }

    std::map<cells::cell_number, std::uint64_t> epochs;
};

/// Owner that has not been asked for lent jobs since its takeover.
struct next_owner_of_a_borrowing_cell : single_owner {
    next_owner_of_a_borrowing_cell()
    {
        workers.add("worker", "0", 16000);
        owner.setNeighbors(neighbors);
        owner.takeOver({ epoch, false });
        owner.setWorkers(workers.registrations("0"));
        runFor(4s);
    }

    void runLent(jobs::lender home)
    {
        auto lent = request(epoch, "a", 1, 100ms);
        lent.lentBy = home;
        run(lent);
        runFor(1s);
        BOOST_REQUIRE(answers.size() == 1);
    }

    announced_epochs neighbors;
};

/// Two cells, the first of which has lent a job to the second. The owners of both are lost at the same time.
struct lent_job_whose_owners_are_lost {
    lent_job_whose_owners_are_lost()
    {
        fleet.runFor(2s);
        const std::string home = fleet.owner(0);
        fleet.run(home, "long", 6, 900ms);
        fleet.runFor(300ms);
        fleet.run(home, "lent", 2, 5s);
        fleet.runFor(200ms);
        BOOST_REQUIRE(fleet.counterValues(home).lentJobs == 1);
        fleet.kill(home);
        fleet.kill(fleet.owner(1));
    }

    cell_fleet fleet { 2, 3, 3 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(other_owners)

// Guards against a second start: the resubmitted job was lent to another cell while runs of its first submission went on here.
BOOST_FIXTURE_TEST_CASE(a_job_that_own_workers_may_still_run_is_not_lent, job_that_was_given_up)
{
    setStopDelay(0ms);
    fleet.run(home, "given-up", 2, 5s);
    fleet.runFor(10s);
    BOOST_TEST(fleet.answers.back().jobId == "given-up");
    BOOST_TEST(fleet.answers.back().answer.has_value());
    BOOST_TEST(fleet.counterValues(home).lentJobs == 0U);
    expectNoViolation(fleet);
}

// Guards against a second start: the lease that the earlier owner had granted did not count, so that the run was taken as ended
// as soon as its worker had left the list.
BOOST_FIXTURE_TEST_CASE(an_adopted_run_may_hold_a_lease_of_the_earlier_owner, worker_that_answers_once)
{
    constexpr int renewals = 15;
    for (int number = 0; number < renewals; ++number) {
        renewLease();
        if (number == 1)
            resubmit();
        runFor(100ms);
    }
    renewLease();
    reachable = true;
    runFor(15s);
    expectNoConcurrentRuns();
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0] == jobs::job_state::completed));
}

// Guards against a second start: a run that the owner had adopted was taken as ended with its worker's boot, although the earlier
// owner may have sent the start order more than once.
BOOST_FIXTURE_TEST_CASE(an_adopted_run_may_be_started_again_by_a_late_try_of_the_earlier_owner, run_of_an_earlier_owner)
{
    runFor(100ms);
    resubmit();
    runFor(4s);
    // A pending poll, which carries the token of the new owner, reaches the next boot only after the late order.
    loop.runFor(2ms);
    auto registration = workers.restart(first.value);
    registration.draining = true;
    owner.updateWorker(registration);
    workers.start(first, earlierOrder, [](const auto&) {});
    runFor(15s);
    expectNoConcurrentRuns();
    BOOST_REQUIRE(answers.size() == 1U);
    BOOST_TEST((answers[0] == jobs::job_state::completed));
}

// Guards against a second start: the next owner of the borrowing cell did not know that the lender had been superseded, since
// only its predecessor had been asked for the lent jobs.
BOOST_FIXTURE_TEST_CASE(a_job_lent_by_a_superseded_owner_is_refused, next_owner_of_a_borrowing_cell)
{
    neighbors.epochs = { { 1, 7 } };
    runLent({ 1, 6 });
    BOOST_REQUIRE(!answers[0]);
    BOOST_TEST((answers[0].error().kind == error_kind::claim_unavailable));
    BOOST_TEST(workers.runs().empty());
}

BOOST_FIXTURE_TEST_CASE(a_job_lent_by_the_newest_owner_is_run, next_owner_of_a_borrowing_cell)
{
    neighbors.epochs = { { 1, 7 } };
    runLent({ 1, 7 });
    BOOST_TEST((answers[0] == jobs::job_state::completed));
}

// Guards against a second start: a caller that submits a job again to another VM does not say so, and the next owner of the home
// cell started the job before the borrowing cell had reported its runs.
BOOST_FIXTURE_TEST_CASE(a_lent_job_may_still_run_when_its_caller_resubmits_it, lent_job_whose_owners_are_lost)
{
    fleet.runFor(resubmissionDelay);
    fleet.run(fleet.owner(0), "lent", 2, 5s);
    fleet.runFor(10s);
    expectNoViolation(fleet);
}

BOOST_AUTO_TEST_SUITE_END()
