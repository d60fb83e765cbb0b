/// Orders to workers, and the answers in which workers report their runs.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/types.h"
#include "jobs/job.h"

namespace coriandermount::cells {

/// Identifies a cell; all VMs use the same numbers.
using cell_number = std::uint32_t;

/// Identifies one task of a job, across all its attempts.
struct task_key {
    std::string jobId;
    /// Occurrence of a recurring job; 0 for all other jobs.
    std::uint32_t occurrence = 0;
    /// Step of the job, counted from 0.
    std::uint32_t step = 0;
    /// Task within the step, counted from 0.
    std::uint32_t index = 0;

    friend auto operator<=>(const task_key&, const task_key&) = default;
};

/// Registration of a worker with the platform.
struct worker_registration {
    worker_id id;
    std::string address;
    service_id service;
    failure_domain_id failureDomain;
    bool draining = false;
    jobs::resources capacity;
    /// Labels that the worker reports, such as its kind; the last one names its rack.
    std::vector<std::string> labels;
    /// Start time of the worker process, which identifies the boot. Later boots have higher values.
    std::int64_t bootTime = 0;
    /// Time for which the worker is still slow after its start, when it wrote the registration.
    std::chrono::milliseconds coldLeft { 0 };
};

/// Time on the steady clock of one boot of a worker, in milliseconds since the worker's own epoch.
using worker_time = std::chrono::milliseconds;

/// Epoch of the owner that sends an order. Workers refuse orders with a lower token than the highest one they have seen.
using fencing_token = std::uint64_t;

/// Order to start one attempt of a task.
struct start_order {
    task_key task;
    std::uint64_t attempt = 0;
    std::string payload;
    /// End of the worker's lease: the worker kills all its runs at this time unless a later order extends the lease.
    worker_time leaseEnd { 0 };
    fencing_token token = 0;
    /// Checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
    /// How long the answer may take; 0 for the limit of the link.
    std::chrono::milliseconds answerLimit { 0 };
};

/// Order to stop an attempt of a task.
struct stop_order {
    task_key task;
    std::uint64_t attempt = 0;
    fencing_token token = 0;
    /// How long the answer may take; 0 for the limit of the link.
    std::chrono::milliseconds answerLimit { 0 };
};

/// Long poll of a worker, which lists its runs and ends, acknowledges ends, and may extend the lease.
struct poll_order {
    fencing_token token = 0;
    /// Number of the last end that the worker may forget, together with all earlier ones.
    std::uint64_t acknowledged = 0;
    /// New end of the lease; used only if `extendsLease` is set.
    worker_time leaseEnd { 0 };
    bool extendsLease = false;
    /// How long the worker may delay the answer until a run ends.
    std::chrono::milliseconds wait { 0 };
    /// How long the answer may take in addition to `wait`; 0 for the limit of the link.
    std::chrono::milliseconds answerLimit { 0 };
};

/// Reason why an order failed.
enum class order_failure {
    /// The worker has seen a higher fencing token.
    fenced,
    /// This attempt of the task, or a higher one, has ended or was stopped on the worker.
    attempt_too_old,
    /// The end of the lease in the order had passed when the worker received the order.
    too_late,
    /// The worker has not enough free capacity.
    no_room,
    /// The worker demands a ticket.
    needs_ticket,
    /// The address belongs to another boot of the worker or to another worker.
    other_instance,
    /// The worker refused the order for another reason and did nothing.
    refused,
    /// The worker could not parse the order.
    malformed,
    /// The order was not sent.
    not_sent,
    /// The order was not sent because no process listens at the worker's address. A poll may have been received before.
    connection_refused,
    /// No answer arrived: the order may have been executed, or may still be.
    no_answer,
};

/// Number of values of `order_failure`.
inline constexpr std::size_t orderFailureCount = static_cast<std::size_t>(order_failure::no_answer) + 1;

/// Returns the name of a value, as used in logs and metrics.
std::string_view nameOf(order_failure value);

/// Returns whether the failure shows that the order did not reach the worker.
constexpr bool isUnsent(order_failure value)
{
    return value == order_failure::not_sent || value == order_failure::connection_refused;
}

/// Answer to a start or stop order that was carried out.
struct order_answer {
    /// Time on the worker's clock when it answered.
    worker_time clock { 0 };
};

/// Why a run ended, as its worker reports it.
enum class run_end_reason {
    done,
    failed,
    /// A stop order ended the run.
    stopped,
    /// The lease ended without renewal.
    lapsed,
    /// Another member of the gang ended.
    peer_ended,
    /// The worker reported the reason "alone"; the attempt does not count as failed.
    left_alone
};

/// Returns the name of a value, as used in logs.
std::string_view nameOf(run_end_reason value);

/// A run that a worker lists as running.
struct running_task {
    task_key task;
    std::uint64_t attempt = 0;
    /// Newest checkpoint of the run; empty for none.
    std::string checkpoint;
    /// Progress in percent.
    int percent = 0;
};

/// The end of a run. A worker lists it in every poll answer until it is acknowledged.
struct ended_task {
    /// Number of the end; ends of one boot are numbered in their order.
    std::uint64_t number = 0;
    task_key task;
    std::uint64_t attempt = 0;
    run_end_reason endReason = run_end_reason::done;
    std::string checkpoint;
};

/// Answer to a poll.
struct poll_answer {
    /// Time on the worker's clock when it answered.
    worker_time clock { 0 };
    /// Boot time of the worker that answered.
    std::int64_t bootTime = 0;
    /// All current runs of the worker.
    std::vector<running_task> running;
    /// Ends that are not acknowledged yet, in their order.
    std::vector<ended_task> ended;
    /// Whether `ended` holds all ends that are not acknowledged. A worker may list only the oldest ones.
    bool endsComplete = true;
};

/// Sends orders to workers. Each completion is called once, possibly from another thread.
class worker_link {
public:
    virtual ~worker_link() = default;

    template <class Answer> using completion = std::function<void(tl::expected<Answer, order_failure>)>;

    /// Sends an order to start an attempt.
    virtual void start(const worker_registration& worker, const start_order& order, completion<order_answer> done) = 0;
    /// Sends an order to stop an attempt.
    virtual void stop(const worker_registration& worker, const stop_order& order, completion<order_answer> done) = 0;
    /// Sends a long poll; the worker may delay its answer by `poll_order::wait`.
    virtual void poll(const worker_registration& worker, const poll_order& order, completion<poll_answer> done) = 0;
};

} // namespace coriandermount::cells
