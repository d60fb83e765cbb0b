/// UDP socket over IPv4.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/error.h"

namespace coriandermount::net {

/// Largest datagram that is received whole; the rest of a longer one is lost.
inline constexpr std::size_t maxDatagramBytes = std::size_t { 16 } * 1024;

/// Sends datagrams, and receives them on a thread of its own.
class datagram_socket {
public:
    using handler = std::function<void(const std::string& datagram)>;

    /// `onReceive` is called on the receiving thread for each datagram, from `start` until `stop` returns.
    datagram_socket(std::string address, std::uint16_t port, handler onReceive);
    ~datagram_socket();

    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// Binds the socket and starts the receiving thread. Fails with `settings_invalid` when the address can't be bound.
    result<void> start();
    /// Ends the receiving thread, which takes up to a second, and closes the socket.
    void stop();

    /// Sends `datagram` to `target` (`a.b.c.d:port`) without blocking; failures and losses are not reported.
    void send(const std::string& target, const std::string& datagram) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::net
