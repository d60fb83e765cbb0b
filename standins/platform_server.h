/// Stand-in for the platform: an append-only log and the list of VMs.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "core/error.h"
#include "platform/vm_list.h"

namespace coriandermount::standins {

/// Faults that the platform shows; all off by default.
struct platform_faults {
    /// Every request is answered with an error and has no effect.
    bool logDown = false;
    /// Appends take effect, but the connection is closed without an answer.
    bool dropAppendAnswers = false;
    bool vmListDown = false;
};

struct platform_server_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    /// Time that a synced append takes.
    std::chrono::milliseconds appendLatency { 5 };
    /// Records kept per stream; older ones are forgotten.
    std::size_t maxRecordsPerStream = 100000;
    /// Age of the list that is handed out.
    std::chrono::milliseconds vmListLag { 0 };
    platform_faults faults;
};

class platform_server {
public:
    explicit platform_server(platform_server_options options);
    ~platform_server();

    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;

    result<void> start();
    void stop();

    std::uint16_t port() const;

    /// Replaces the list; callers see it after the lag.
    void setListing(platform::vm_listing listing);

    void setFaults(const platform_faults& faults);

    /// Appends a record without going over the network.
    std::uint64_t append(const std::string& stream, std::string body);

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::standins
