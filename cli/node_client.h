/// Calls a node for a command and tells what to do when it fails.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "cli/command.h"
#include "net/http_client.h"

namespace coriandermount::cli {

/// Adds `--address` and `--json`.
void declareNodeOptions(cxxopts::Options& options);

struct node_reply {
    int status = 0;
    std::string body;
    /// The body as JSON; null when it is none.
    nlohmann::json object;

    bool ok() const { return status >= 200 && status < 300; }
};

class node_client {
public:
    node_client(const cxxopts::ParseResult& parsedOptions, console& terminal);

    /// Returns the exit code when the node did not answer; that has then been told.
    tl::expected<node_reply, int> call(const std::string& method, const std::string& path, std::string body = {},
        std::chrono::milliseconds timeout = std::chrono::seconds(10));

    /// Starts a call without waiting for its end.
    void send(const std::string& method, const std::string& path, std::string body, std::chrono::milliseconds timeout,
        net::http_completion done);

    /// Tells an error answer with the next step; returns the exit code for it.
    int reportError(const node_reply& reply);

    /// Tells that the node can't be reached; returns the exit code for it.
    int reportTransportError(const net::transport_error& problem);

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

/// Returns the outcome that the error object says.
int exitCodeOf(const nlohmann::json& errorObject);

} // namespace coriandermount::cli
