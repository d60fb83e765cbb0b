/// Orders to workers, and what workers say about the tasks that they run.
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

/// Number of a cell; the same on all VMs.
using cell_number = std::uint32_t;

/// Names one task for as long as its job lives.
struct task_key {
    std::string jobId;
    /// Number of the occurrence of a job that is repeated.
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_key&, const task_key&) = default;
};

/// A worker as it registered itself.
struct worker_registration {
    worker_id id;
    std::string address;
    service_id service;
    failure_domain_id failureDomain;
    bool draining = false;
    jobs::resources capacity;
    /// Kind and rack, as the worker names them.
    std::vector<std::string> labels;
    /// Start of the worker, which tells its lives apart.
    std::int64_t bootTime = 0;
};

/// Time on the steady clock of one worker's life, in milliseconds since its own zero.
using worker_time = std::chrono::milliseconds;

/// Identifies the caller towards workers: orders of a lower token than one already seen are refused.
using fencing_token = std::uint64_t;

struct start_order {
    task_key task;
    std::uint64_t attempt = 0;
    std::string payload;
    /// Everything on the worker is killed at this time unless a later order moves it.
    worker_time leaseEnd { 0 };
    fencing_token token = 0;
    /// State to resume from; empty to start afresh.
    std::string checkpoint;
};

struct stop_order {
    task_key task;
    std::uint64_t attempt = 0;
    fencing_token token = 0;
};

struct poll_order {
    fencing_token token = 0;
    /// Ends up to this number are forgotten by the worker.
    std::uint64_t acknowledged = 0;
    worker_time leaseEnd { 0 };
    bool extendsLease = false;
    /// How long the answer may wait for an end.
    std::chrono::milliseconds wait { 0 };
};

/// How an order ended that did not do what it was meant to.
enum class order_failure {
    /// A higher token has been seen.
    fenced,
    /// This attempt or a higher one has ended or was stopped there.
    attempt_too_old,
    /// The end of the lease has passed.
    too_late,
    no_room,
    needs_ticket,
    /// The address belongs to another life or another worker.
    other_instance,
    /// The worker refused and did nothing.
    refused,
    malformed,
    /// The order was not sent.
    not_sent,
    /// The order may have been executed, or may be later.
    no_answer,
};

inline constexpr std::size_t orderFailureCount = static_cast<std::size_t>(order_failure::no_answer) + 1;

std::string_view nameOf(order_failure value);

struct order_answer {
    worker_time clock { 0 };
};

enum class run_end_reason { done, failed, stopped, lapsed, peer_ended, left_alone };

std::string_view nameOf(run_end_reason value);

struct running_task {
    task_key task;
    std::uint64_t attempt = 0;
    std::string checkpoint;
    int percent = 0;
};

struct ended_task {
    std::uint64_t number = 0;
    task_key task;
    std::uint64_t attempt = 0;
    run_end_reason endReason = run_end_reason::done;
    std::string checkpoint;
};

struct poll_answer {
    worker_time clock { 0 };
    std::int64_t bootTime = 0;
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

/// Sends orders to workers. Completions are called once, from another thread.
class worker_link {
public:
    virtual ~worker_link() = default;

    template <class Answer> using completion = std::function<void(tl::expected<Answer, order_failure>)>;

    virtual void start(const worker_registration& worker, const start_order& order, completion<order_answer> done) = 0;
    virtual void stop(const worker_registration& worker, const stop_order& order, completion<order_answer> done) = 0;
    virtual void poll(const worker_registration& worker, const poll_order& order, completion<poll_answer> done) = 0;
};

} // namespace coriandermount::cells
