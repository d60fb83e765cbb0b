/// Asynchronous HTTP client on the multi interface of libcurl.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/error.h"

namespace coriandermount::net {

/// How far a request got before its transport failed.
enum class transport_progress {
    /// The request was not written to any connection.
    not_sent,
    /// The request may have reached the server.
    may_have_arrived,
};

struct transport_error {
    transport_progress progress = transport_progress::may_have_arrived;
    bool timedOut = false;
    std::string message;
};

struct http_call {
    std::string method = "GET";
    std::string url;
    std::string body;
    std::vector<std::string> headers;
    std::chrono::milliseconds timeout { 5000 };
    std::chrono::milliseconds connectTimeout { 1000 };
};

struct http_reply {
    int status = 0;
    std::string body;
    /// Entity tag of the reply; empty when the server sent none.
    std::string entityTag;
};

/// Bytes that a client has put on and taken off the wire, headers included, TCP and IP left out.
struct http_traffic {
    std::uint64_t calls = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

using http_completion = std::function<void(tl::expected<http_reply, transport_error>)>;

struct http_client_options {
    unsigned maxConnectionsPerServer = 64;
    /// Connections kept open for later calls, over all servers.
    unsigned maxCachedConnections = 1024;
    std::size_t maxReplyBytes = 16 * 1024 * 1024;
    /// IPv4 address to call from; empty lets the system choose.
    std::string sourceAddress;
};

/// Runs all transfers on one thread of its own; completions are called on that thread.
/// A request body is written at most once, so that no server sees a call twice.
class http_client {
public:
    explicit http_client(http_client_options options = {});
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call; `done` is called exactly once.
    void send(http_call call, http_completion done);

    /// Runs a call and waits for its end.
    tl::expected<http_reply, transport_error> sendAndWait(http_call call);

    http_traffic traffic() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::net
