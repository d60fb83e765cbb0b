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
    using method_handler = std::function<void(const std::string& message, reply_function reply)>;

    /// Registers a method. The handler must call its reply function exactly once, at any time and from any thread.
    virtual void addMethod(const std::string& method, method_handler handler) = 0;
};

} // namespace coriandermount::peers
