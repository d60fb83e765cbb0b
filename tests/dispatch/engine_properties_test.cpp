// Properties that hold for any sequence of events.
#include <array>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "tests/fakes/engine_driver.h"

using namespace coriandermount;
using fakes::engine_driver;

namespace {

constexpr std::uint32_t planConcurrency = 5;
constexpr std::uint32_t workerMemory = 32 * 1024;

/// Executes random commands against an engine and checks every start. The lowest three bits of a command select the operation,
/// the rest its argument.
class command_runner {
public:
    command_runner()
    {
        configuration::plan_limits gold;
        gold.weight = 3;
        gold.concurrentTasks = planConcurrency;
        m_driver.configure({ { "gold", gold }, { "free", {} } }, { { "kellari", "gold" }, { "laulukaar", "free" } });
        setWorkers(0);
    }

    void execute(std::uint32_t command)
    {
        const std::uint32_t detail = command / 8;
        switch (command % 8) {
        case 0:
        case 1:
            submit(detail);
            break;
        case 2:
            succeed(detail);
            break;
        case 3:
            fail(detail);
            break;
        case 4:
            cancel(detail);
            break;
        case 5:
            m_driver.advanceTime(std::chrono::milliseconds(detail % 400));
            break;
        case 6:
            setWorkers(detail);
            break;
        default:
            setShares(detail);
        }
        checkStarts();
    }

    void finish()
    {
        setWorkers(0);
        while (!m_driver.openStarts.empty() || m_driver.engine.queuedTasks() > 0) {
            while (!m_driver.openStarts.empty())
                end(m_driver.openStarts.begin()->first, {});
            m_driver.advanceTime(std::chrono::milliseconds(500));
            checkStarts();
        }
        for (const auto& [serial, job] : m_jobs)
            checkAnswer(serial, job);
        RC_ASSERT(m_driver.engine.openJobs() == 0U);
        RC_ASSERT(m_driver.engine.runningTasks() == 0U);
    }

private:
    struct submitted {
        job_request request;
        /// Number of starts of each task without proof that the task did not run.
        std::map<std::uint32_t, unsigned> startsWithoutProof;
    };

    void submit(std::uint32_t detail)
    {
        job_request job = engine_driver::makeJob("job " + std::to_string(m_jobs.size()), 1 + detail % 7);
        if (detail % 3 == 0)
            job.key.customer.value = "laulukaar";
        job.idempotent = detail % 5 == 0;
        job.timeLimit = std::chrono::milliseconds(500 + detail % 5000);
        for (auto& task : job.tasks) {
            task.memoryMegabytes = detail % 4 == 0 ? 12 * 1024 : 0;
            task.declaredClass = detail % 6 == 0 ? task_class::long_work : task_class::short_work;
        }
        m_keys.push_back(job.key);
        // The serial is known only after the submission, so `checkStarts` runs later.
        const job_request copy = job;
        m_jobs[m_driver.submit(std::move(job))].request = copy;
    }

    lease_id pick(std::uint32_t detail) const
    {
        return std::next(m_driver.openStarts.begin(), static_cast<std::ptrdiff_t>(detail % m_driver.openStarts.size()))->first;
    }

    void succeed(std::uint32_t detail)
    {
        if (!m_driver.openStarts.empty())
            end(pick(detail), {});
    }

    void fail(std::uint32_t detail)
    {
        constexpr std::array kinds { error_kind::worker_refused, error_kind::worker_unreachable, error_kind::worker_lost,
            error_kind::task_failed, error_kind::lease_expired };
        if (!m_driver.openStarts.empty())
            end(pick(detail), kinds[detail / 16 % kinds.size()]);
    }

    void end(lease_id lease, std::optional<error_kind> problem)
    {
        const auto start = m_driver.openStarts.at(lease);
        if (problem && rowOf(*problem).result == outcome::not_run)
            --m_jobs[start.serial].startsWithoutProof[start.index];
        --m_running[start.worker->id.value];
        --m_runningOfCustomer[start.job->key.customer.value];
        m_memory[start.worker->id.value] -= start.job->tasks[start.index].memoryMegabytes;
        if (problem)
            m_driver.fail(lease, *problem);
        else
            m_driver.succeed(lease);
        checkStarts();
    }

    void cancel(std::uint32_t detail)
    {
        if (!m_keys.empty())
            m_driver.handle(dispatch::cancel_requested { m_keys[detail % m_keys.size()] });
    }

    void setWorkers(std::uint32_t detail)
    {
        std::vector<worker_info> workers;
        for (unsigned number = 0; number < 4; ++number) {
            worker_info worker = engine_driver::makeWorker(number, 2 + number % 2);
            if ((detail >> number & 1U) != 0)
                worker.state = vm_state::leaving;
            m_usable[worker.id.value] = worker.state == vm_state::live;
            if ((detail >> (number + 4) & 1U) == 0)
                workers.push_back(worker);
            else
                m_usable[worker.id.value] = false;
        }
        m_driver.setWorkers(workers);
    }

    void setShares(std::uint32_t detail)
    {
        auto shares = std::make_shared<quota::share_snapshot>();
        shares->plans[{ "gold" }].concurrentTasks = 1 + detail % planConcurrency;
        for (unsigned number = 0; number < 4; ++number)
            shares->slots[engine_driver::makeWorker(number, 0).id] = 1 + (detail >> number & 1U);
        m_shares = shares;
        m_driver.handle(dispatch::shares_changed { shares });
    }

    std::uint32_t slotsOf(const worker_info& worker) const
    {
        return m_shares ? std::min(worker.slots, m_shares->slots.at(worker.id)) : worker.slots;
    }

    void checkStarts()
    {
        for (; m_processedStarts < m_driver.starts.size(); ++m_processedStarts) {
            const auto& start = m_driver.starts[m_processedStarts];
            const std::string& worker = start.worker->id.value;
            RC_ASSERT(m_usable.at(worker));
            RC_ASSERT(++m_running[worker] <= slotsOf(*start.worker));
            RC_ASSERT((m_memory[worker] += start.job->tasks[start.index].memoryMegabytes) <= workerMemory);
            const std::uint32_t running = ++m_runningOfCustomer[start.job->key.customer.value];
            const std::uint32_t share = m_shares ? m_shares->plans.at({ "gold" }).concurrentTasks : planConcurrency;
            RC_ASSERT(start.job->key.customer.value != "kellari" || running <= share);
            const bool repeatable = start.job->idempotent && start.job->tasks.size() == 1;
            RC_ASSERT(++m_jobs[start.serial].startsWithoutProof[start.index] == 1U || repeatable);
        }
    }

    void checkAnswer(job_serial serial, const submitted& job) const
    {
        RC_ASSERT(m_driver.answerCountOf(serial) == 1U);
        const job_answer& answer = *m_driver.answerOf(serial);
        const bool mayHaveRun = std::any_of(
            job.startsWithoutProof.begin(), job.startsWithoutProof.end(), [](const auto& entry) { return entry.second > 0; });
        RC_ASSERT(answer.result != outcome::not_run || !mayHaveRun);
        // The claim of a job is given up when nothing started, after which another VM may run it.
        const auto finished = std::find_if(m_driver.finished.begin(), m_driver.finished.end(),
            [serial](const dispatch::finish_job& entry) { return entry.serial == serial; });
        RC_ASSERT(!finished->nothingStarted || !mayHaveRun);
        for (const auto& [index, starts] : job.startsWithoutProof)
            RC_ASSERT(starts == 0 || answer.tasks[index].state != task_state::not_started);
        if (answer.result != outcome::done)
            return;
        RC_ASSERT(answer.tasks.size() == job.request.tasks.size());
        for (const auto& task : answer.tasks)
            RC_ASSERT(task.state == task_state::done);
    }

    engine_driver m_driver;
    std::map<job_serial, submitted> m_jobs;
    std::vector<job_key> m_keys;
    std::map<std::string, std::uint32_t> m_running;
    std::map<std::string, std::uint32_t> m_runningOfCustomer;
    std::map<std::string, std::uint32_t> m_memory;
    std::map<std::string, bool> m_usable;
    std::shared_ptr<const quota::share_snapshot> m_shares;
    std::size_t m_processedStarts = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(any_sequence_of_events)

BOOST_AUTO_TEST_CASE(respects_slot_memory_and_plan_limits_and_answers_each_job_once_and_correctly)
{
    BOOST_TEST(rc::check([](const std::vector<std::uint16_t>& commands) {
        command_runner runner;
        for (const std::uint32_t command : commands)
            runner.execute(command);
        runner.finish();
    }));
}

BOOST_AUTO_TEST_CASE(gives_the_same_actions_for_the_same_events)
{
    BOOST_TEST(rc::check([](const std::vector<std::uint8_t>& sizes) {
        engine_driver first;
        engine_driver second;
        for (engine_driver* driver : { &first, &second }) {
            driver->setDefaultWorkers(5, 3);
            for (std::size_t number = 0; number < sizes.size(); ++number)
                driver->submit("job " + std::to_string(number), 1 + sizes[number] % 4);
            driver->succeedAll();
        }
        RC_ASSERT(first.starts.size() == second.starts.size());
        for (std::size_t index = 0; index < first.starts.size(); ++index)
            RC_ASSERT(first.starts[index].worker->id == second.starts[index].worker->id);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
