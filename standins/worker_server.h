/// Stand-in for the platform's workers: an HTTP server that runs tasks which sleep or echo their payload.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/error.h"

namespace coriandermount::standins {

/// Faults that a worker injects; all are off by default.
struct worker_faults {
    /// Every task fails as soon as it has started.
    bool failAll = false;
    /// Tasks run to their end, but the worker then closes the connection without an answer.
    bool closeAfterStart = false;
    /// The worker refuses every start. A refusal guarantees that the task did not run.
    bool refuseAll = false;
    /// Tasks keep running for an hour, longer than any test.
    bool hang = false;
    /// Factor by which run times are multiplied.
    double slowdown = 1.0;
};

/// Options of a stand-in worker.
struct worker_server_options {
    std::string address = "127.0.0.1";
    /// Port to listen on; 0 lets the system choose one.
    std::uint16_t port = 0;
    /// Number of tasks that may run at the same time.
    unsigned slots = 8;
    worker_faults faults;
    /// File that a JSON line is appended to for each start; no file is written if this is empty.
    std::string startsFile;
};

/// Records one start of a task on this worker.
struct started_task {
    std::string taskId;
    std::string leaseId;
    std::chrono::system_clock::time_point at;
};

/// Serves the worker API on one HTTP thread and ends tasks on a timer thread. All methods are for the thread that owns the
/// server, except `setFaults` and `starts`, which any thread may call.
class worker_server {
public:
    explicit worker_server(worker_server_options options);
    ~worker_server();

    worker_server(const worker_server&) = delete;
    worker_server& operator=(const worker_server&) = delete;

    /// Starts listening. Fails if the address can't be bound.
    result<void> start();
    /// Stops listening and drops running tasks without an answer. A stopped server can't be started again.
    void stop();

    /// Returns the port on which the started server listens.
    std::uint16_t port() const;

    /// Replaces the faults. Running tasks keep the faults with which they were started.
    void setFaults(const worker_faults& faults);

    /// Returns all starts so far, the oldest first.
    std::vector<started_task> starts() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::standins
