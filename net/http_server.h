/// HTTP server on libmicrohttpd. Connections are served by epoll threads and suspended until their response is available.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/error.h"
#include "net/body_budget.h"

namespace coriandermount::net {

/// A request whose body has been received completely.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Response to an `http_request`.
struct http_response {
    int status = 200;
    /// Value of the Content-Type header; if empty, the header is omitted.
    std::string contentType = "application/json";
    std::string body;
    std::map<std::string, std::string> headers;
    /// Closes the connection without sending a response.
    bool dropConnection = false;
};

/// Sends the response to one request, from any thread. Only the first call of `reply` has an effect.
class responder {
public:
    virtual ~responder() = default;

    virtual void reply(http_response response) = 0;

    /// Returns whether the client has closed the connection, also in its own direction only, before a response.
    virtual bool isDisconnected() = 0;

    /// Sets the function that `http_server::checkDisconnects` calls, once at most, when the client has closed the connection
    /// before a response. The request still needs a reply, which ends the connection.
    virtual void onDisconnect(std::function<void()> callback) = 0;
};

/// Handles a request on a thread of the server; the response may be sent later through the responder.
using http_handler = std::function<void(http_request, std::shared_ptr<responder>)>;

struct http_server_options {
    /// IPv4 address to listen on.
    std::string address = "127.0.0.1";
    /// Port to listen on; if 0, the system chooses it.
    std::uint16_t port = 0;
    unsigned threads = 2;
    unsigned maxConnections = 8192;
    /// Largest request body. A request that announces a longer one is answered at once, and its connection closed.
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /// Accounts the bodies of requests until these are answered; without one, only `maxBodyBytes` limits them. A request that the
    /// budget does not allow is answered with `body_memory_exceeded`. Listeners may share a budget.
    std::shared_ptr<body_budget> bodyBudget;
    /// Time from the header of a request to the end of its body, after which its connection is closed with the next bytes; one
    /// that sends nothing is closed after `idleTimeout`.
    std::chrono::seconds bodyTimeout { 30 };
    /// Time after which an idle connection without a pending request is closed.
    std::chrono::seconds idleTimeout { 30 };
    /// Whether responses carry a Date header.
    bool dateHeader = true;
    /// Status of the response to requests that are pending, or arrive, while the server stops; 0 for the one of
    /// `shutdown_limit_reached`. Set it where that status would say that the request has not run.
    int abandonedStatus = 0;
};

/// Serves HTTP until it is destroyed or stopped.
class http_server {
public:
    http_server(http_server_options options, http_handler handler);
    ~http_server();

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts listening. Fails with `settings_invalid` when the address can't be bound.
    result<void> start();

    /// Answers pending and new requests with `shutdown_limit_reached`, waits up to 500 ms until these responses are written, and
    /// closes all connections.
    void stop();

    /// Looks for pending requests whose clients have closed the connection, also in one direction only, and calls the functions
    /// that their responders were given. To be called every few tens of milliseconds, as libmicrohttpd does not watch the
    /// connections of pending requests. Does not recognize a client that is cut off.
    void checkDisconnects();

    /// Returns the port that the server listens on.
    std::uint16_t port() const;

    /// Returns the number of requests whose response is not written yet.
    std::size_t pendingRequests() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::net
