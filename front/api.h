/// HTTP API for callers and operators.
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

/// Objects that `api` uses. All of them must outlive it.
struct api_dependencies {
    const clock_source& clock;
    blackboard& board;
    claims::claim_service& claims;
    dispatch::dispatcher& dispatcher;
    metrics::registry& metrics;
    event_log::event_sink& journal;
};

/// Routes HTTP requests to handlers. Registers the routes for jobs, readiness, liveness and metrics itself; other subsystems
/// register theirs with `addRoute`.
class api {
public:
    using route_handler = std::function<void(const net::http_request&, const std::shared_ptr<net::responder>&)>;

    explicit api(api_dependencies dependencies);
    ~api();

    api(const api&) = delete;
    api& operator=(const api&) = delete;

    /// Registers a handler for `method` on paths that begin with `prefix`; the longest matching prefix wins. Replaces an earlier
    /// handler for the same method and prefix. Not synchronized with `handle`.
    void addRoute(const std::string& method, const std::string& prefix, route_handler handler);

    /// Passes a request to its handler. Replies with `not_found` if no prefix matches the path, and with `method_not_allowed`
    /// if the longest matching prefix has no handler for the method. A handler may reply later and from another thread.
    void handle(const net::http_request& request, const std::shared_ptr<net::responder>& responder) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

/// Builds the response for an error. The status comes from the error table; `Retry-After`, in seconds rounded up, is set if the
/// error has a retry delay.
net::http_response errorResponse(const error& problem);

/// Builds the response for the answer of a job. A refused or failed job has the status and `Retry-After` of its error.
net::http_response answerResponse(const job_answer& answer);

} // namespace coriandermount::front
