/// Worker link over HTTP: each task is started with `POST /tasks`, which the worker answers when the task has ended.
#pragma once

#include "net/http_client.h"
#include "workers/worker_link.h"

namespace coriandermount::workers {

/// Sends starts and stops of tasks to workers with an HTTP client.
class http_worker_link final : public worker_link {
public:
    /// `client` has to outlive the link.
    explicit http_worker_link(net::http_client& client);

    void start(task_start start, completion done) override;
    void stop(const worker_info& worker, const std::string& taskId) override;

private:
    net::http_client& m_client;
};

} // namespace coriandermount::workers
