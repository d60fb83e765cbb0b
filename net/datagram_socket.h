/// UDP socket with a receiving thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/error.h"

namespace coriandermount::net {

class datagram_socket {
public:
    using handler = std::function<void(const std::string& datagram)>;

    /// `received` is called on the thread of the socket.
    datagram_socket(std::string address, std::uint16_t port, handler received);
    ~datagram_socket();

    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// Binds and starts to receive; fails with `settings_invalid`.
    result<void> start();
    void stop();

    /// Sends to `a.b.c.d:port`; losses are not reported.
    void send(const std::string& target, const std::string& datagram) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::net
