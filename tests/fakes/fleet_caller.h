/// Caller and operator of an embedded fleet over real sockets.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/job.h"
#include "main/embedded_fleet.h"
#include "net/http_client.h"

namespace coriandermount::fakes {

struct json_reply {
    int status = 0;
    nlohmann::json body;
};

/// Started fleet with what a tour does to it.
class fleet_caller {
public:
    explicit fleet_caller(embedded_fleet_options options);

    embedded_fleet& fleet() { return m_fleet; }

    /// Builds a job of `tasks` tasks of one service, with an id of its own.
    job_request job(const std::string& customer, std::size_t tasks, const std::string& service, const std::string& payload);

    json_reply call(const std::string& method, const std::string& path, const std::string& body = {}, std::size_t node = 0);
    json_reply submit(const job_request& job, std::size_t node = 0);

    /// Submits without waiting for the answer.
    void submitAside(const job_request& job, std::size_t node = 0);

    json_reply explain(const job_key& key, std::size_t node = 0);
    json_reply faults(std::size_t node = 0);

    /// Publishes lists and waits until node 0 has them in force.
    void publish(const nlohmann::json& lists, const std::string& author);

    /// Whether a record of the platform's log holds `text`.
    bool streamHas(const std::string& stream, const std::string& text);

    /// Starts that all workers have seen.
    std::size_t startedTasks();

    /// Waits until `condition` holds; fails the test after a while.
    void waitUntil(const std::function<bool()>& condition, std::string_view what);

private:
    embedded_fleet m_fleet;
    net::http_client m_client;
    std::uint64_t m_jobs = 0;
};

/// Options of a fleet whose nodes choose their ports.
embedded_fleet_options smallFleetOptions();

std::string pathOf(const job_key& key);

} // namespace coriandermount::fakes
