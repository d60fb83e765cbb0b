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

/// How far a request got before the transport failed.
enum class transport_progress {
    /// The request was not written to any connection.
    not_sent,
    /// The request may have reached the server.
    may_have_arrived,
};

/// Failure of a call that ended without a reply.
struct transport_error {
    transport_progress progress = transport_progress::may_have_arrived;
    bool timedOut = false;
    /// Whether the last connection was refused, so that no process listens at the address.
    bool connectionRefused = false;
    /// Error text of libcurl.
    std::string message;
};

/// One request of an HTTP client.
struct http_call {
    std::string method = "GET";
    std::string url;
    std::string body;
    /// Header lines, as `name: value`.
    std::vector<std::string> headers;
    /// Limit on the whole call, connecting included. An answer that has arrived when the call is judged is delivered, even if the
    /// client could not read it in time.
    std::chrono::milliseconds timeout { 5000 };
    std::chrono::milliseconds connectTimeout { 1000 };
    /// Opens a connection of its own for the call, because those that are open may be dead.
    bool newConnection = false;
};

/// Reply of a server to an `http_call`.
struct http_reply {
    int status = 0;
    std::string body;
    /// Value of the ETag header; empty when the server sent none.
    std::string entityTag;
};

/// Number of ended calls of a client, and the HTTP bytes that they sent and received, headers included. TCP and IP overhead is
/// not counted.
struct http_traffic {
    std::uint64_t calls = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

/// Receives the reply of a call, or the reason why there is none.
using http_completion = std::function<void(tl::expected<http_reply, transport_error>)>;

struct http_client_options {
    unsigned maxConnectionsPerServer = 64;
    /// Size of the cache of open connections, over all servers.
    unsigned maxCachedConnections = 1024;
    /// A call whose reply has a longer body fails.
    std::size_t maxReplyBytes = 16 * 1024 * 1024;
    /// Local IPv4 address of the connections; if empty, the system chooses it.
    std::string sourceAddress;
};

/// Runs all transfers on one internal thread, which also calls the completions. A request body is sent at most once, so that no
/// server receives a call twice. The destructor fails the calls in progress.
class http_client {
public:
    explicit http_client(http_client_options options = {});
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call from any thread; `done` is called exactly once.
    void send(http_call call, http_completion done);

    /// Runs a call and blocks until it ends; must not be called from a completion.
    tl::expected<http_reply, transport_error> sendAndWait(http_call call);

    /// Returns the totals since the client was created.
    http_traffic traffic() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::net
