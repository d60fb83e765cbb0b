/// Determines which jobs crash the workers that start their tasks.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cells/worker_link.h"
#include "core/clock.h"
#include "jobs/record_codec.h"

namespace coriandermount::cells {

/// When a worker was lost, relative to one of its runs.
enum class loss_timing {
    /// Just after the start of the run, or it was not heard any more from then on.
    at_start,
    /// Later, by a crash that came before the lease of the run can have ended.
    in_lease,
    /// Later, and the run may have ended with its lease before the worker crashed.
    unknown,
};

/// A run that a worker may have been executing when it stopped answering.
struct exposed_run {
    task_key task;
    /// Whether the worker had confirmed the run.
    bool confirmed = false;
    /// Whether the run had gone on for so long that it is an unlikely cause of a crash.
    bool established = false;
    loss_timing timing = loss_timing::at_start;
};

/// What shows that a worker may have crashed.
enum class crash_observation {
    /// A later boot under the same id.
    restarted,
    /// A later boot of another worker at the same address.
    replaced,
    /// The worker's address refused connections.
    refused,
    /// No answer for `crashVerdictLimit`.
    silent,
};

/// Number of values of `crash_observation`.
inline constexpr std::size_t crashObservationCount = static_cast<std::size_t>(crash_observation::silent) + 1;

/// Returns the name of a value, as used in logs and metrics.
std::string_view nameOf(crash_observation value);
std::string_view nameOf(loss_timing value);

/// What a loss of a worker says about a task, once the losses at the same moment are known.
enum class loss_weight {
    /// The task is the likely cause.
    attributed,
    /// Another task on the worker is a likelier cause.
    likelier_task,
    /// Other tasks of the job lost their workers at that moment.
    others_of_job,
    /// Workers were lost at that moment without a task that explains it.
    common_cause,
    /// It is not known whether the worker crashed under the run.
    unexplained,
};

/// Returns the name of a value, as used in logs.
std::string_view nameOf(loss_weight value);

/// A loss of a worker that was judged for one of its tasks.
struct judged_loss {
    task_key task;
    crash_observation observation = crash_observation::restarted;
    worker_id worker;
    /// When the owner gave the run up.
    time_point lostAt;
};

/// A loss of a worker whose cause is judged with all that is known of the losses of other workers.
struct settled_loss {
    task_key task;
    worker_id worker;
    loss_weight weight = loss_weight::unexplained;
    loss_timing timing = loss_timing::unknown;
    /// Number of other workers that were lost at that moment.
    std::size_t others = 0;
    /// Length of the time within which the worker was lost.
    std::chrono::milliseconds uncertainty { 0 };
};

/// Attributes crashes of workers to the tasks that they had started.
///
/// A worker that stops answering has crashed if its address refuses connections, or if a later boot is registered under its id or
/// at its address; it has not if it answers in the same boot. Until then the loss is pending. A crash is attributed to a task if
/// it came while the task ran and is not likelier due to another task, or to a cause in common with other workers that were lost
/// at the same moment. Only attributed crashes make a task to blame; the other losses hold back further starts.
///
/// Not thread-safe.
class crash_suspicion {
public:
    /// Records that a worker was first found not to answer, as a possible sign of a cause that several workers have in common.
    /// It was lost between `from` and `to`, while it may have executed `tasks`.
    void noteFall(const worker_id& worker, std::int64_t bootTime, std::set<task_key> tasks, time_point from, time_point to);
    /// Records that the worker of a run refuses connections. Later owners count the run as a crash, until its loss is recorded or
    /// its task is done.
    void noteExposure(const task_key& task, time_point now);
    /// Records the runs of a worker whose leases have ended in silence.
    void noteSilence(const worker_registration& worker, std::vector<exposed_run> runs, time_point now);
    /// Records the runs of a worker whose leases have ended after its address had refused connections. Returns the judged losses.
    std::vector<judged_loss> noteRefusal(const worker_registration& worker, std::vector<exposed_run> runs, time_point now);
    /// Records that a worker has left the boot `bootTime` behind, with the runs that it had then, and counts a crash for its
    /// pending runs as well. Returns the judged losses.
    std::vector<judged_loss> noteRestart(
        const worker_id& worker, std::int64_t bootTime, std::vector<exposed_run> runs, time_point now);
    /// Counts a crash for the pending runs of workers that `worker` has replaced. Returns the judged losses.
    std::vector<judged_loss> noteBoot(const worker_registration& worker, time_point now);
    /// Records that a worker has answered or announced its departure, so that it had not crashed in this boot. Returns the number
    /// of its runs that were counted or pending.
    std::size_t noteAlive(const worker_id& worker, std::int64_t bootTime);
    /// Records that a run of the task has gone on for long enough to be an unlikely cause of crashes.
    void noteEstablished(const task_key& task);
    /// Records that the task is done.
    void noteDone(const task_key& task);

    /// Sets the counts of a task to those that an earlier owner has stored.
    void restore(const task_key& task, const jobs::crash_counts& counts, time_point now);
    /// Returns the counts of a task as they are stored: a crash is attributed once it is settled.
    jobs::crash_counts storedCounts(const task_key& task) const;
    /// Returns the number of workers that have crashed or disappeared under a task, whatever the cause.
    std::uint32_t crashesUnder(const task_key& task) const;
    /// Returns the number of crashes that are attributed to a task.
    std::uint32_t crashesAttributedTo(const task_key& task) const;

    /// Returns whether the next start of the task is a trial: workers have crashed under it so often that the start has to show
    /// whether the task is the cause. A trial is stored before it starts, runs on a worker without young runs of other jobs, and
    /// starts at a moment apart from the losses of other workers.
    bool needsTrial(const task_key& task) const;
    /// Returns the same for the tasks of a job.
    bool needsTrial(const std::string& jobId) const;
    /// Counts the next start of the task, a trial, as a crash for later owners until its end is known.
    void planTrial(const task_key& task);
    /// Records that the counts of a job, as they are now, are in a write to the store.
    void noteStoring(const std::string& jobId);
    /// Records that this write has succeeded.
    void noteStored(const std::string& jobId);
    /// Returns whether a planned trial of the task is stored.
    bool isTrialStored(const task_key& task) const;

    /// Returns whether no job is suspected, which saves the caller all other queries.
    bool empty() const { return m_jobs.empty(); }
    /// Returns whether tasks of the job may only be started on a worker that runs no other young runs.
    bool isRestricted(const std::string& jobId) const;
    /// Returns whether the losses under each task of the job are so few, or so likely to have a common cause, that its tasks
    /// start like those of other jobs.
    bool isUnproven(const std::string& jobId) const;
    /// Returns whether another start of the task should wait until it is known whether its last workers have crashed.
    bool awaitsVerdict(const task_key& task) const;
    /// Returns when the task may be started again. The pause grows with the number of its losses.
    time_point heldBackUntil(const task_key& task) const;
    /// Returns whether the task has crashed so many workers that it is not started any more.
    bool isToBlame(const task_key& task) const;

    /// Returns whether a task of the job is to blame.
    bool blames(const std::string& jobId) const;

    /// Returns the jobs whose stored counts may have changed since the last call.
    std::set<std::string> takeChanges() { return std::exchange(m_changed, {}); }

    /// Forgets a job.
    void forget(const std::string& jobId);
    /// Judges losses whose worker has not returned in time, and forgets jobs without losses for a while.
    /// Returns the judged losses.
    std::vector<judged_loss> expire(time_point now);
    /// Returns the losses that were settled since the last call.
    std::vector<settled_loss> takeSettled() { return std::exchange(m_settled, {}); }
    void clear();

private:
    using boot_key = std::pair<worker_id, std::int64_t>;
    enum class loss_verdict { pending, crashed, vanished };
    /// Time within which a worker was lost, and the tasks that it may have executed then.
    struct fall {
        std::shared_ptr<const std::set<task_key>> tasks;
        time_point from;
        time_point to;
    };
    struct task_loss {
        boot_key worker;
        time_point from;
        time_point to;
        bool confirmed = false;
        loss_timing timing = loss_timing::at_start;
        loss_verdict verdict = loss_verdict::pending;
        /// What the verdict is based on; unused while it is pending.
        crash_observation observation = crash_observation::silent;
        /// Whether the worker ran no task that was a likelier cause.
        bool likely = true;
        /// Whether the worker ran no task of another job that was as likely a cause.
        bool alone = false;
        /// Whether it is known which other workers were lost at that time.
        bool settled = false;
        /// Whether the run was a trial.
        bool inTrial = false;
        /// Tasks that the worker may have executed.
        std::shared_ptr<const std::set<task_key>> tasks;
        /// Whether other workers were lost at that time while they ran other tasks of the job.
        bool withOthersOfJob = false;
        /// Other workers that were lost at that time without running the job, with their tasks.
        std::map<boot_key, std::shared_ptr<const std::set<task_key>>> others;
    };
    enum class trial_state { none, planned, storing, stored };
    struct suspect {
        /// Counts that an earlier owner has stored.
        jobs::crash_counts earlier;
        std::vector<task_loss> losses;
        bool established = false;
        time_point lastLoss;
        /// State of the next or present start if it is a trial.
        trial_state trial = trial_state::none;
        /// Whether the worker of the present run has refused connections.
        bool exposed = false;
        /// Whether an earlier owner may have made one more start than it has stored crashes.
        bool mayHaveUncountedStart = false;
    };
    struct suspected_job {
        std::map<task_key, suspect> tasks;
        time_point lastLoss;
    };
    struct silent_worker {
        std::string address;
        std::set<task_key> tasks;
        time_point since;
        /// Whether its losses were judged, which an answer of the worker revokes.
        bool judged = false;
    };
    /// Losses under a task by what they say about it.
    struct tally {
        jobs::crash_counts attributed;
        /// Crashes under trials among the attributed ones.
        std::uint32_t inTrial = 0;
        /// Losses that coincided with those of other workers, and those that an earlier owner has not attributed.
        std::uint32_t unrelated = 0;
        /// Other losses, by their verdicts.
        std::uint32_t pending = 0;
        std::uint32_t vanished = 0;
        std::uint32_t crashed = 0;

        /// Whether several tasks of the job lost their workers together, so that the job may be the cause.
        bool ofSeveralTasks = false;

        std::uint32_t unexplained() const { return pending + vanished + crashed; }
        std::uint32_t total() const { return attributed.confirmed + attributed.possible + unrelated + unexplained(); }
    };

    const suspect* find(const task_key& task) const;
    /// Returns the losses under a task, or only those that are settled.
    tally tallyOf(const task_key& task, bool settledOnly = false) const;
    /// Adds `other` to the losses at the time of `loss` if it is one of them; returns whether it is.
    static bool compare(task_loss& loss, const task_key& task, const boot_key& boot, const fall& other);
    /// Returns the number of workers lost at the time of the loss whose own tasks don't explain their losses.
    std::size_t unexplainedOthers(const task_loss& loss) const;
    /// Returns whether the loss coincided with losses of other workers that their own tasks don't explain.
    bool hasCommonCause(const task_loss& loss) const;
    /// Returns whether the worker crashed under a trial before its run had gone on for long.
    static bool isCrashInTrial(const task_loss& loss);
    /// Returns the number of workers that have crashed under runs of the task, whatever the cause.
    static std::uint32_t crashesUnderRuns(const suspect& task);
    /// Returns the same together with the losses under its runs of which it is not known whether they were crashes.
    static std::uint32_t possibleCrashesUnderRuns(const suspect& task);
    loss_weight weightOf(const task_loss& loss) const;
    /// Returns the number of workers that crashed just after the start of the task, without a likelier cause.
    static std::uint32_t crashesAtStart(const suspect& task);
    /// Returns whether workers have repeatedly crashed just after the start of the task.
    bool crashesOften(const task_key& task) const;
    static bool crashesOften(const suspect& task);
    static bool needsTrial(const suspect& task);
    /// Adds losses with the given verdict, and returns them unless they are pending.
    std::vector<judged_loss> addLosses(const boot_key& worker, std::vector<exposed_run> runs, loss_verdict verdict,
        crash_observation observation, time_point now);
    /// Sets the verdict on the losses of a worker, and returns those whose verdict has changed.
    std::vector<judged_loss> judge(
        const boot_key& worker, const silent_worker& silent, loss_verdict verdict, crash_observation observation, time_point now);
    silent_worker& addSilent(const worker_registration& worker, time_point now);

    std::map<std::string, suspected_job> m_jobs;
    std::map<boot_key, silent_worker> m_silent;
    std::set<std::string> m_changed;
    std::vector<settled_loss> m_settled;
    /// Workers that were lost recently.
    std::map<boot_key, fall> m_falls;
};

} // namespace coriandermount::cells
