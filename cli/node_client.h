/// HTTP client for the commands that call a node.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "cli/command.h"
#include "net/http_client.h"

namespace coriandermount::cli {

/// Declares the options `--address` and `--json`.
void declareNodeOptions(cxxopts::Options& options);

/// HTTP response of a node.
struct node_reply {
    int status = 0;
    std::string body;
    /// The body as JSON; null if it is not valid JSON.
    nlohmann::json object;

    /// Returns whether the status is 2xx.
    bool ok() const { return status >= 200 && status < 300; }
};

/// Calls the node that `--address` names. Failed calls are printed together with the recommended action.
class node_client {
public:
    /// Reads the options that `declareNodeOptions` declares. `terminal` must outlive the client.
    node_client(const cxxopts::ParseResult& parsedOptions, console& terminal);

    /// Sends a request and waits for the response. If there is none, prints the error and returns the exit code for it.
    tl::expected<node_reply, int> call(const std::string& method, const std::string& path, std::string body = {},
        std::chrono::milliseconds timeout = std::chrono::seconds(10));

    /// Sends a request without waiting for the response; `done` receives the response or the transport error.
    void send(const std::string& method, const std::string& path, std::string body, std::chrono::milliseconds timeout,
        net::http_completion done);

    /// Prints an error response and the recommended action. Returns the exit code for it.
    int reportError(const node_reply& reply);

    /// Prints why there was no response and the recommended action. Returns the exit code for it, which depends on whether the
    /// request may have arrived.
    int reportTransportError(const net::transport_error& problem);

    /// Returns whether results are printed as JSON.
    bool json() const { return m_json; }
    const std::string& address() const { return m_address; }

private:
    net::http_call makeCall(
        const std::string& method, const std::string& path, std::string body, std::chrono::milliseconds timeout) const;

    std::string m_address;
    bool m_json = false;
    console& m_terminal;
    net::http_client m_client;
};

/// Returns the exit code for the outcome in an error object: `exit_may_have_run` or `exit_refused`.
int exitCodeOf(const nlohmann::json& errorObject);

} // namespace coriandermount::cli
