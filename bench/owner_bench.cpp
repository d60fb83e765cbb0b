// Processor time of a cell's owner for each job, by workers and load: decisions and bookkeeping without network calls. The
// figures contain the fakes of workers and callers, which do the same work in each row.
#include <ctime>

#include <fmt/format.h>

#include "core/log.h"
#include "tests/fakes/cell_load_run.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Three kinds of jobs whose tasks take half of a worker; together they need all of `workers` at a rate of 1.
std::vector<job_kind> jobKinds(unsigned workers)
{
    // Requests of the kinds: 245, 45 and 710 of 1,000; core-seconds of one job: 3.3, 24.3 and 2.7.
    const double jobsPerSecond = workers * 16.0 / (0.245 * 8 * 8 * 0.051 + 0.045 * 4 * 8 * 0.76 + 0.71 * 2 * 8 * 0.17);
    return { { "short", 8, 8000, 51ms, 142ms, 1500ms, 0.245 * jobsPerSecond },
        { "long", 4, 8000, 760ms, 1276ms, 1500ms, 0.045 * jobsPerSecond },
        { "medium", 2, 8000, 170ms, 332ms, 1500ms, 0.71 * jobsPerSecond } };
}

/// Load on an owner whose own processor time is measured, without that of the fakes.
class measured_owner final : public cell_load_run {
public:
    using cell_load_run::cell_load_run;

    double ownerSeconds() const { return m_seconds; }

protected:
    void tickOwner() override
    {
        count([this] { owner.tick(); });
    }
    void runOnOwner(jobs::run_request request, cells::job_completion done) override
    {
        count([&] { cell_load_run::runOnOwner(std::move(request), std::move(done)); });
    }
    void start(
        const cells::worker_registration& worker, const cells::start_order& order, completion<cells::order_answer> done) override
    {
        cell_load_run::start(worker, order, counted(std::move(done)));
    }
    void poll(
        const cells::worker_registration& worker, const cells::poll_order& order, completion<cells::poll_answer> done) override
    {
        cell_load_run::poll(worker, order, counted(std::move(done)));
    }

private:
    static double processorSeconds()
    {
        timespec time {};
        clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
    }
    template <class Call> void count(const Call& call)
    {
        const double before = processorSeconds();
        call();
        m_seconds += processorSeconds() - before;
    }
    template <class Answer> completion<Answer> counted(completion<Answer> done)
    {
        return [this, done = std::move(done)](const auto& answer) { this->count([&] { done(answer); }); };
    }

    double m_seconds = 0;
};

void measure(unsigned workers, double load)
{
    constexpr auto duration = 2s;
    measured_owner run(workers);
    run.runFor(2s);
    auto kinds = jobKinds(workers);
    const double before = run.ownerSeconds();
    run.runAtRate(kinds, load, duration);
    const double used = run.ownerSeconds() - before;
    const load_outcome outcome = run.outcome();
    fmt::print("{:>7} {:>5.1f} {:>7} {:>8.2f} {:>8.2f} {:>10.0f} {:>10.3f}\n", workers, load, outcome.jobs, outcome.servedShare(),
        outcome.refusedShare(), used / static_cast<double>(outcome.jobs) * 1e6,
        used / std::chrono::duration<double>(duration).count());
    std::fflush(stdout);
}

} // namespace

int main()
{
    setLogLevel(log_level::error);
    fmt::print("workers  load    jobs   served  refused     us/job      cores\n");
    for (const unsigned workers : { 30U, 117U, 350U, 1000U }) {
        for (const double load : { 0.6, 1.0, 1.6 })
            measure(workers, load);
    }
    return 0;
}
