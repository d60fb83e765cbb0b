/// Interfaces for calls between entry VMs.
#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "net/http_client.h"

namespace coriandermount::peers {

/// Calls methods of other entry VMs.
class peer_link {
public:
    virtual ~peer_link() = default;

    using completion = std::function<void(tl::expected<std::string, net::transport_error>)>;

    /// Calls `method` of the VM whose peer listener is at `address`, which is `a.b.c.d:port`. `done` is called exactly once, with
    /// the reply or with the transport error.
    virtual void call(const std::string& address, const std::string& method, std::string message,
        std::chrono::milliseconds timeout, completion done)
        = 0;
};

/// Registers the methods that other entry VMs can call on this VM.
class peer_service {
public:
    virtual ~peer_service() = default;

    using reply_function = std::function<void(std::string)>;
    /// Sets the function that is called, once at most, when the calling VM has closed its connection before the reply.
    using disconnect_setter = std::function<void(std::function<void()>)>;
    using method_handler = std::function<void(const std::string& message, reply_function reply)>;

    /// Registers a method. The handler must call its reply function exactly once, at any time and from any thread.
    virtual void addMethod(const std::string& method, method_handler handler) = 0;

    /// Like `method_handler`, for methods whose work is useless once the calling VM has gone.
    using watched_method_handler
        = std::function<void(const std::string& message, reply_function reply, const disconnect_setter& onDisconnect)>;

    /// Registers a method whose handler learns of broken calls.
    virtual void addWatchedMethod(const std::string& method, watched_method_handler handler) = 0;
};

} // namespace coriandermount::peers
