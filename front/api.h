/// The HTTP interface for callers and operators.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "blackboard/blackboard.h"
#include "claims/claim_service.h"
#include "dispatch/dispatcher.h"
#include "event_log/journal.h"
#include "metrics/metrics.h"
#include "net/http_server.h"

namespace coriandermount::front {

/// What the interface works with; everything outlives it.
struct api_dependencies {
    const clock_source& clock;
    blackboard& board;
    claims::claim_service& claims;
    dispatch::dispatcher& dispatcher;
    metrics::registry& metrics;
    event_log::event_sink& journal;
};

/// Routes requests to the dispatcher and the controllers. Further subsystems add their own routes.
class api {
public:
    using route_handler = std::function<void(const net::http_request&, const std::shared_ptr<net::responder>&)>;

    explicit api(api_dependencies dependencies);
    ~api();

    api(const api&) = delete;
    api& operator=(const api&) = delete;

    /// Adds a handler for paths that begin with `prefix`; the longest matching prefix wins.
    void addRoute(const std::string& method, const std::string& prefix, route_handler handler);

    void handle(const net::http_request& request, const std::shared_ptr<net::responder>& responder) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

/// Builds the response for an error, with status and Retry-After from the error table.
net::http_response errorResponse(const error& problem);

/// Builds the response for a job's answer.
net::http_response answerResponse(const job_answer& answer);

} // namespace coriandermount::front
