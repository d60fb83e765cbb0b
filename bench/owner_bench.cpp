// Processor time of a cell's owner for each job, by workers and load: decisions and bookkeeping without network calls. The
// figures contain the fakes of workers and callers, which do the same work in each row. With --backlog, by stored jobs that wait.
#include <algorithm>
#include <ctime>
#include <string_view>
#include <utility>

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
    /// Returns the processor time of the longest tick since the last call.
    double takeLongestTick() { return std::exchange(m_longestTick, 0); }

    /// Stores jobs of one task that takes half of a worker.
    void storeJobs(unsigned count, std::chrono::milliseconds runTime)
    {
        jobs::append_request appended;
        appended.stream = { "jobs", 0 };
        for (unsigned number = 0; number < count; ++number) {
            jobs::accepted_job job = request(epoch, fmt::format("{:016x}", number), 1, runTime).accepted;
            job.work.answeredAtEnd = false;
            job.work.steps[0].need.cpuMillis = 8000;
            appended.records.push_back({ jobs::acceptedKey(job.work.id), jobs::encodeAccepted(job), 0 });
        }
        records.append(appended, store_fault::none, [](const auto&) {});
    }

protected:
    void tickOwner() override
    {
        const double before = m_seconds;
        count([this] { owner.tick(); });
        m_longestTick = std::max(m_longestTick, m_seconds - before);
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
    double m_longestTick = 0;
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

/// Measures an owner while all workers are occupied and stored jobs wait.
void measureBacklog(unsigned workers, unsigned waiting)
{
    constexpr auto duration = 2s;
    measured_owner run(workers);
    run.runFor(2s);
    // In three seconds 12 jobs start on each worker; in the middle of the measurement, `waiting` jobs are left.
    run.storeJobs(waiting + 8 * workers, 500ms);
    run.runFor(1s);
    run.takeLongestTick();
    const double before = run.ownerSeconds();
    const auto startsBefore = run.owner.counterValues().starts;
    run.runFor(duration);
    const double seconds = std::chrono::duration<double>(duration).count();
    const auto starts = static_cast<double>(run.owner.counterValues().starts - startsBefore);
    const double used = run.ownerSeconds() - before;
    fmt::print("{:>7} {:>7} {:>9.0f} {:>9.0f} {:>14.2f} {:>10.3f}\n", workers, waiting, starts / seconds, used / starts * 1e6,
        run.takeLongestTick() * 1e3, used / seconds);
    std::fflush(stdout);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    setLogLevel(log_level::error);
    if (argumentCount > 1 && std::string_view(arguments[1]) == "--backlog") {
        fmt::print("workers waiting  starts/s  us/start   longest tick ms   cores\n");
        for (const unsigned workers : { 100U, 500U, 1000U }) {
            for (const unsigned waiting : { 1000U, 10000U, 100000U })
                measureBacklog(workers, waiting);
        }
        return 0;
    }
    fmt::print("workers  load    jobs   served  refused     us/job      cores\n");
    for (const unsigned workers : { 30U, 117U, 350U, 1000U }) {
        for (const double load : { 0.6, 1.0, 1.6 })
            measure(workers, load);
    }
    return 0;
}
