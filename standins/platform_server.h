/// Stand-in for the platform: an HTTP server with append-only logs and the list of VMs.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "core/error.h"
#include "platform/vm_list.h"

namespace coriandermount::standins {

/// Faults that the platform injects; all are off by default.
struct platform_faults {
    /// Every request to a log is answered with status 503 and has no effect.
    bool logDown = false;
    /// Appends take effect, but the server closes the connection without an answer.
    bool dropAppendAnswers = false;
    /// Every request for the list of VMs is answered with status 503.
    bool vmListDown = false;
};

/// Options of the stand-in platform.
struct platform_server_options {
    std::string address = "127.0.0.1";
    /// Port to listen on; 0 lets the system choose one.
    std::uint16_t port = 0;
    /// Time until an append is answered, as for a platform that syncs records to disk.
    std::chrono::milliseconds appendLatency { 5 };
    /// Largest number of records that a stream retains; the oldest records are discarded.
    std::size_t maxRecordsPerStream = 100000;
    /// Time until a new list of VMs becomes visible to readers.
    std::chrono::milliseconds vmListLag { 0 };
    platform_faults faults;
};

/// Serves the platform's log and list of VMs and answers appends on a timer thread. `start` and `stop` are for the thread that
/// owns the server; any thread may call the other methods of a started server.
class platform_server {
public:
    explicit platform_server(platform_server_options options);
    ~platform_server();

    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;

    /// Starts listening. Fails if the address can't be bound.
    result<void> start();
    /// Stops listening and drops appends that are not answered yet. A stopped server can't be started again.
    void stop();

    /// Returns the port on which the started server listens.
    std::uint16_t port() const;

    /// Replaces the list of VMs. Readers see the new list after `vmListLag`.
    void setListing(platform::vm_listing listing);

    /// Replaces the faults. They apply to requests that arrive later.
    void setFaults(const platform_faults& faults);

    /// Appends a record to a stream at once, regardless of faults and latency, and returns its offset.
    std::uint64_t append(const std::string& stream, std::string body);

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::standins
