/// HTTP client that acts as a caller and an operator of an embedded fleet, over real sockets.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/job.h"
#include "main/embedded_fleet.h"
#include "net/http_client.h"

namespace coriandermount::fakes {

/// HTTP response with a JSON body; the body is discarded if it is no valid JSON.
struct json_reply {
    int status = 0;
    nlohmann::json body;
};

/// Started embedded fleet with the requests that a test sends to it.
class fleet_caller {
public:
    /// Starts the fleet; fails the test if it does not start.
    explicit fleet_caller(embedded_fleet_options options);

    embedded_fleet& fleet() { return m_fleet; }

    /// Builds a job of `tasks` tasks of one service with a unique id.
    job_request job(const std::string& customer, std::size_t tasks, const std::string& service, const std::string& payload);

    /// Sends a request to a node and waits for the response; fails the test if there is none.
    json_reply call(const std::string& method, const std::string& path, const std::string& body = {}, std::size_t node = 0);
    /// Submits a job and waits for its result.
    json_reply submit(const job_request& job, std::size_t node = 0);

    /// Submits a job without waiting for its result.
    void submitAsync(const job_request& job, std::size_t node = 0);

    json_reply explain(const job_key& key, std::size_t node = 0);
    json_reply faults(std::size_t node = 0);

    /// Publishes a configuration and waits until node 0 has adopted it.
    void publish(const nlohmann::json& lists, const std::string& author);

    /// Returns whether a record in a stream of the platform's log contains `text`.
    bool streamContains(const std::string& stream, const std::string& text);

    /// Returns the number of task starts over all workers.
    std::size_t startedTaskCount();

    /// Waits until `condition` holds; fails the test after 30 s. `what` names the condition in the failure message.
    void waitUntil(const std::function<bool()>& condition, std::string_view what);

private:
    embedded_fleet m_fleet;
    net::http_client m_client;
    std::uint64_t m_jobs = 0;
};

/// Returns the options of a fleet with four workers per domain, whose nodes listen on ephemeral ports.
embedded_fleet_options smallFleetOptions();

/// Returns the part of a URL path that names a job.
std::string pathOf(const job_key& key);

} // namespace coriandermount::fakes
