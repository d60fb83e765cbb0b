#include "dispatch/dispatcher.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>

#include <fmt/format.h>

#include "dispatch/job_events.h"

namespace coriandermount::dispatch {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 20 };

    std::chrono::microseconds microseconds(time_point::duration value)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(value);
    }

    /// A submission that has not been answered.
    struct submission {
        dispatcher::completion done;
        time_point submittedAt;
        time_point claimedAt;
    };

} // namespace

struct dispatcher::data {
    dispatcher_dependencies dependencies;
    engine schedulingEngine;
    std::mutex mutex;
    std::condition_variable inboxChanged;
    std::vector<event> inbox;
    std::unordered_map<job_serial, submission> openSubmissions;
    bool stopping = false;
    std::atomic<std::uint64_t> nextSerial { 1 };
    std::atomic<std::size_t> openJobs { 0 };
    /// Time at which the engine handled the current event.
    time_point currentEventAt;
    /// The event whose actions are being executed.
    const event* currentEvent = nullptr;
    std::thread thread;

    data(dispatcher_dependencies givenDependencies, engine_options options)
        : dependencies(std::move(givenDependencies))
        , schedulingEngine(options)
    {
    }

    void run();
    void post(event input);
    void onClaim(const std::shared_ptr<const job_request>& job, submission caller, result<claims::claim_decision> claimDecision);
    void enqueueClaimed(std::shared_ptr<const job_request> job, std::uint64_t epoch, submission caller);
    void recordDispatched(const event& input, time_point now);
    void countAnswer(const job_answer& answer, time_point::duration response);
    void answer(const submission& caller, const job_answer& answer, time_point decidedAt);
    void carryOut(action& decision);
    void perform(start_task& decision);
    void perform(stop_task& decision);
    void perform(finish_job& decision);
    void perform(record_event& decision);
    void perform(report_demand& decision) const;
    void perform(const count_decision& decision) const;
    std::string taskIdOf(const job_key& key, std::uint32_t index) const;
};

void dispatcher::data::run()
{
    time_point nextTick = dependencies.clock.now() + tickInterval;
    std::vector<event> batch;
    while (true) {
        {
            std::unique_lock lock(mutex);
            inboxChanged.wait_until(lock, nextTick, [this] { return stopping || !inbox.empty(); });
            if (stopping)
                return;
            batch.swap(inbox);
        }
        if (dependencies.clock.now() >= nextTick) {
            batch.emplace_back(timer_ticked {});
            nextTick = dependencies.clock.now() + tickInterval;
        }
        for (const auto& input : batch) {
            currentEventAt = dependencies.clock.now();
            currentEvent = &input;
            recordDispatched(input, currentEventAt);
            for (auto& decision : schedulingEngine.handle(input, currentEventAt))
                carryOut(decision);
        }
        batch.clear();
    }
}

void dispatcher::data::post(event input)
{
    bool first = false;
    {
        const std::scoped_lock lock(mutex);
        first = inbox.empty();
        inbox.push_back(std::move(input));
    }
    if (first)
        inboxChanged.notify_one();
}

void dispatcher::data::onClaim(
    const std::shared_ptr<const job_request>& job, submission caller, result<claims::claim_decision> claimDecision)
{
    caller.claimedAt = dependencies.clock.now();
    const auto elapsed = microseconds(caller.claimedAt - caller.submittedAt);
    if (!claimDecision) {
        dependencies.journal.record(claimedEvent(job->key, elapsed, claimDecision.error().detail));
        answer(caller, refusedAnswer(job->key, std::move(claimDecision.error())), caller.claimedAt);
        return;
    }
    dependencies.journal.record(
        claimedEvent(job->key, elapsed, claimDecision->granted() ? "" : "answered by the first submission"));
    if (claimDecision->granted())
        enqueueClaimed(job, claimDecision->epoch, std::move(caller));
    else
        answer(caller, *claimDecision->answer, caller.claimedAt);
}

void dispatcher::data::enqueueClaimed(std::shared_ptr<const job_request> job, std::uint64_t epoch, submission caller)
{
    const job_serial serial { nextSerial.fetch_add(1) };
    {
        const std::scoped_lock lock(mutex);
        openSubmissions.emplace(serial, std::move(caller));
    }
    post(job_submitted { serial, std::move(job), epoch });
}

void dispatcher::data::recordDispatched(const event& input, time_point now)
{
    const auto* submitted = std::get_if<job_submitted>(&input);
    if (!submitted)
        return;
    std::chrono::microseconds elapsed { 0 };
    {
        const std::scoped_lock lock(mutex);
        if (const auto found = openSubmissions.find(submitted->serial); found != openSubmissions.end())
            elapsed = microseconds(now - found->second.claimedAt);
    }
    dependencies.journal.record(dispatchedEvent(submitted->job->key, elapsed));
}

void dispatcher::data::answer(const submission& caller, const job_answer& answer, time_point decidedAt)
{
    const time_point now = dependencies.clock.now();
    auto entry = answeredEvent(answer, microseconds(now - caller.submittedAt), microseconds(now - decidedAt));
    entry.configurationVersion = dependencies.board.configuration.read()->version;
    dependencies.journal.record(std::move(entry));
    openJobs.fetch_sub(1);
    countAnswer(answer, now - caller.submittedAt);
    if (caller.done)
        caller.done(answer);
}

void dispatcher::data::carryOut(action& decision)
{
    std::visit([this](auto& value) { perform(value); }, decision);
}

std::string dispatcher::data::taskIdOf(const job_key& key, std::uint32_t index) const
{
    return fmt::format("{}.{}.{}.{}", key.customer.value, key.name, key.issuedAt.time_since_epoch().count(), index);
}

void dispatcher::data::countAnswer(const job_answer& answer, time_point::duration response)
{
    if (answer.problem) {
        const auto plan = dependencies.board.configuration.read()->planOf(answer.key.customer);
        dependencies.metrics.count(answer.problem->kind);
        dependencies.metrics.countPlanRefusal(plan ? *plan : plan_id { "(none)" }, answer.problem->kind);
        return;
    }
    std::chrono::microseconds ideal { 0 };
    std::chrono::microseconds wait { 0 };
    for (const auto& task : answer.tasks) {
        ideal = std::max(ideal, task.runTime);
        wait = std::max(wait, task.queued);
    }
    if (ideal.count() > 0)
        dependencies.metrics.observeAnswer(std::chrono::duration<double>(response) / std::chrono::duration<double>(ideal), wait);
}

void dispatcher::data::perform(start_task& decision)
{
    workers::task_start start;
    start.taskId = taskIdOf(decision.job->key, decision.index);
    start.leaseId = fmt::format("{}.{}", dependencies.vm.value, static_cast<std::uint64_t>(decision.lease));
    start.epoch = decision.epoch;
    start.leaseDuration = decision.leaseDuration;
    start.worker = *decision.worker;
    start.task = decision.job->tasks[decision.index];
    dependencies.metrics.countTaskStart();
    dependencies.metrics.countMessage(metrics::message_kind::task_start);
    dependencies.workers.start(
        std::move(start), [this, lease = decision.lease, startedAt = currentEventAt](result<workers::task_answer> answer) {
            task_ended ended;
            ended.lease = lease;
            ended.startedAt = startedAt;
            if (answer) {
                ended.output = std::move(answer->output);
                ended.runTime = answer->runTime;
            } else {
                dependencies.metrics.countTaskFailure(answer.error().kind);
                ended.output = tl::unexpected<error>(std::move(answer.error()));
            }
            post(std::move(ended));
        });
}

void dispatcher::data::perform(stop_task& decision)
{
    dependencies.metrics.countMessage(metrics::message_kind::task_stop);
    dependencies.workers.stop(*decision.worker, taskIdOf(decision.job->key, decision.index));
}

void dispatcher::data::perform(finish_job& decision)
{
    std::optional<submission> caller;
    {
        const std::scoped_lock lock(mutex);
        if (auto node = openSubmissions.extract(decision.serial))
            caller = std::move(node.mapped());
    }
    if (decision.nothingStarted && decision.answer.result == outcome::not_run)
        dependencies.claims.release(decision.answer);
    else
        dependencies.claims.finish(decision.answer);
    if (caller)
        answer(*caller, decision.answer, currentEventAt);
}

void dispatcher::data::perform(record_event& decision)
{
    // `answer` records this event, with the total response time.
    if (decision.entry.kind == event_log::event_kind::job_answered)
        return;
    if (decision.entry.kind == event_log::event_kind::job_refused)
        addPlanLimit(decision.entry, *dependencies.board.configuration.read());
    const auto* ended = std::get_if<task_ended>(currentEvent);
    if (ended && decision.entry.kind == event_log::event_kind::task_answered)
        addRunTime(decision.entry, *ended, currentEventAt);
    dependencies.journal.record(std::move(decision.entry));
}

void dispatcher::data::perform(report_demand& decision) const
{
    dependencies.board.demand.publish(std::make_shared<const quota::demand>(std::move(decision.demand)));
}

void dispatcher::data::perform(const count_decision& decision) const { dependencies.metrics.count(decision.counter); }

dispatcher::dispatcher(dispatcher_dependencies dependencies, engine_options options)
    : m_data(std::make_unique<data>(std::move(dependencies), options))
{
    m_data->thread = std::thread([this] { m_data->run(); });
}

dispatcher::~dispatcher() { stop(); }

void dispatcher::stop()
{
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->stopping = true;
    }
    m_data->inboxChanged.notify_one();
    if (m_data->thread.joinable())
        m_data->thread.join();
}

void dispatcher::submit(const std::shared_ptr<const job_request>& job, completion done)
{
    m_data->openJobs.fetch_add(1);
    submission caller { std::move(done), m_data->dependencies.clock.now(), {} };
    m_data->dependencies.metrics.countTaskArrivals(job->tasks.size());
    m_data->dependencies.journal.record(receivedEvent(*job));
    const claims::claim_request request { job->key, job->contentDigest, job->idempotent };
    m_data->dependencies.claims.claim(
        request, [this, job, caller = std::move(caller)](result<claims::claim_decision> claimDecision) {
            m_data->onClaim(job, caller, std::move(claimDecision));
        });
}

void dispatcher::post(event input) { m_data->post(std::move(input)); }

std::size_t dispatcher::openJobs() const { return m_data->openJobs.load(); }

} // namespace coriandermount::dispatch
