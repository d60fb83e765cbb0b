#include "net/datagram_socket.h"

#include <array>
#include <atomic>
#include <charconv>
#include <thread>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/guarded_call.h"

namespace coriandermount::net {

namespace {

    /// Interval in which the receiving thread checks whether it has to end.
    constexpr timeval receiveTimeout { 1, 0 };

    /// Parses `a.b.c.d:port` into `address`; returns false when `target` has another form.
    bool parseAddress(const std::string& target, sockaddr_in& address)
    {
        const auto colon = target.rfind(':');
        if (colon == std::string::npos)
            return false;
        std::uint16_t port = 0;
        const auto [end, problem] = std::from_chars(target.data() + colon + 1, target.data() + target.size(), port);
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        return problem == std::errc() && inet_pton(AF_INET, target.substr(0, colon).c_str(), &address.sin_addr) == 1;
    }

} // namespace

struct datagram_socket::data {
    std::string address;
    std::uint16_t port = 0;
    handler onReceive;
    int descriptor = -1;
    std::atomic<bool> stopping { false };
    std::thread thread;

    void run() const;
};

void datagram_socket::data::run() const
{
    std::array<char, maxDatagramBytes> buffer {};
    while (!stopping.load()) {
        const ssize_t length = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (length > 0)
            runGuarded("datagram_socket", [&] { onReceive(std::string(buffer.data(), static_cast<std::size_t>(length))); });
    }
}

datagram_socket::datagram_socket(std::string address, std::uint16_t port, handler onReceive)
    : m_data(std::make_unique<data>())
{
    m_data->address = std::move(address);
    m_data->port = port;
    m_data->onReceive = std::move(onReceive);
}

datagram_socket::~datagram_socket() { stop(); }

result<void> datagram_socket::start()
{
    sockaddr_in address {};
    const std::string localAddress = fmt::format("{}:{}", m_data->address, m_data->port);
    m_data->descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (m_data->descriptor < 0 || !parseAddress(localAddress, address)
        || bind(m_data->descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
        return fail(error_kind::settings_invalid, fmt::format("can't bind a UDP socket to {}", localAddress));
    setsockopt(m_data->descriptor, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof(receiveTimeout));
    m_data->thread = std::thread([this] { m_data->run(); });
    return {};
}

void datagram_socket::stop()
{
    m_data->stopping.store(true);
    if (m_data->thread.joinable())
        m_data->thread.join();
    if (m_data->descriptor >= 0)
        close(m_data->descriptor);
    m_data->descriptor = -1;
}

void datagram_socket::send(const std::string& target, const std::string& datagram) const
{
    sockaddr_in address {};
    if (parseAddress(target, address))
        sendto(m_data->descriptor, datagram.data(), datagram.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
            reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

} // namespace coriandermount::net
