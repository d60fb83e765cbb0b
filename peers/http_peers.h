/// Calls between entry VMs as JSON-RPC 2.0 over HTTP.
#pragma once

#include <memory>

#include "net/http_server.h"
#include "peers/peer_link.h"

namespace coriandermount::peers {

/// Calls methods of other entry VMs.
class http_peer_link final : public peer_link {
public:
    /// `client` must outlive the link.
    explicit http_peer_link(net::http_client& client);

    void call(const std::string& address, const std::string& method, std::string message, std::chrono::milliseconds timeout,
        completion done) override;

private:
    net::http_client& m_client;
};

/// Serves the methods of this VM on its own HTTP listener.
class http_peer_service final : public peer_service {
public:
    explicit http_peer_service(net::http_server_options options);
    ~http_peer_service() override;

    /// Registers a method. Must be called before `start`.
    void addMethod(const std::string& method, method_handler handler) override;
    /// Registers a method as `addMethod` does; `checkDisconnects` has to be called regularly. Calls whose callers have closed the
    /// connection before the call is read are dropped.
    void addWatchedMethod(const std::string& method, watched_method_handler handler) override;

    /// Opens the listener. Fails with `settings_invalid` when the address can't be bound.
    result<void> start();
    /// Closes the listener.
    void stop();

    /// Reports calls whose callers have closed the connection. To be called every few tens of milliseconds.
    void checkDisconnects();

    /// Returns the port of the listener.
    std::uint16_t port() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::peers
