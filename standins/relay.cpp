#include "standins/relay.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <list>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace coriandermount::standins {

namespace {

    /// Longest wait for traffic; limits the delay until a change of the blocked links takes effect.
    constexpr int pollMilliseconds = 5;
    constexpr std::size_t bufferBytes = 64 * 1024;
    constexpr int backlog = 256;

    sockaddr_in socketAddress(const std::string& address, std::uint16_t port)
    {
        sockaddr_in value {};
        value.sin_family = AF_INET;
        value.sin_port = htons(port);
        inet_pton(AF_INET, address.c_str(), &value.sin_addr);
        return value;
    }

    void disableNagle(int socket)
    {
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    /// Forwards one direction of a relayed connection.
    struct direction {
        int from = -1;
        int to = -1;
        /// Bytes received but not sent yet.
        std::string pending;
        /// Whether the sender has closed this direction.
        bool ended = false;

        /// Forwards the bytes that are available without blocking. Returns false if the connection is broken.
        bool forward()
        {
            if (pending.empty() && !ended && !receive())
                return false;
            return send();
        }

    private:
        bool receive()
        {
            std::array<char, bufferBytes> buffer {};
            const ssize_t count = recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (count > 0)
                pending.assign(buffer.data(), static_cast<std::size_t>(count));
            if (count == 0) {
                ended = true;
                shutdown(to, SHUT_WR);
            }
            return count >= 0 || errno == EAGAIN;
        }

        bool send()
        {
            if (pending.empty())
                return true;
            const ssize_t count = ::send(to, pending.data(), pending.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            if (count > 0)
                pending.erase(0, static_cast<std::size_t>(count));
            return count >= 0 || errno == EAGAIN;
        }
    };

    struct connection {
        std::string source;
        std::string listenAddress;
        direction request;
        direction answer;

        bool ended() const { return request.ended && answer.ended; }
    };

} // namespace

struct relay::data {
    std::vector<relay_route> routes;
    std::vector<int> listeners;
    std::list<connection> connections;
    std::mutex mutex;
    std::set<std::pair<std::string, std::string>> blockedLinks;
    std::atomic<bool> stopping { false };
    std::thread thread;

    result<void> listenOn(const relay_route& route);
    void run();
    void waitForTraffic();
    void accept(std::size_t index);
    void forwardAll();
    bool isLinkBlocked(const connection& entry);
    static void closeConnection(const connection& entry);
};

result<void> relay::data::listenOn(const relay_route& route)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = socketAddress(route.listenAddress, route.listenPort);
    const bool bound
        = bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 && listen(listener, backlog) == 0;
    listeners.push_back(listener);
    if (!bound)
        return fail(
            error_kind::settings_invalid, fmt::format("relay can't listen on {}:{}", route.listenAddress, route.listenPort));
    return {};
}

void relay::data::waitForTraffic()
{
    std::vector<pollfd> waiting;
    for (const int listener : listeners)
        waiting.push_back({ listener, POLLIN, 0 });
    for (auto& entry : connections) {
        if (isLinkBlocked(entry))
            continue;
        for (const auto& flow : { entry.request, entry.answer }) {
            if (!flow.ended)
                waiting.push_back({ flow.pending.empty() ? flow.from : flow.to,
                    static_cast<short>(flow.pending.empty() ? POLLIN : POLLOUT), 0 });
        }
    }
    poll(waiting.data(), waiting.size(), pollMilliseconds);
}

void relay::data::accept(std::size_t index)
{
    sockaddr_in peer {};
    socklen_t length = sizeof(peer);
    const int client = accept4(listeners[index], reinterpret_cast<sockaddr*>(&peer), &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0)
        return;
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = socketAddress(routes[index].targetAddress, routes[index].targetPort);
    if (connect(server, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        close(server);
        close(client);
        return;
    }
    disableNagle(client);
    disableNagle(server);
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
    connections.push_back(
        { text.data(), routes[index].listenAddress, { client, server, {}, false }, { server, client, {}, false } });
}

bool relay::data::isLinkBlocked(const connection& entry)
{
    const std::scoped_lock lock(mutex);
    return blockedLinks.contains({ entry.source, entry.listenAddress });
}

void relay::data::closeConnection(const connection& entry)
{
    close(entry.request.from);
    close(entry.request.to);
}

void relay::data::forwardAll()
{
    for (auto entry = connections.begin(); entry != connections.end();) {
        const bool staysOpen = isLinkBlocked(*entry) || (entry->request.forward() && entry->answer.forward() && !entry->ended());
        if (staysOpen) {
            ++entry;
            continue;
        }
        closeConnection(*entry);
        entry = connections.erase(entry);
    }
}

void relay::data::run()
{
    while (!stopping.load()) {
        waitForTraffic();
        for (std::size_t index = 0; index < listeners.size(); ++index)
            accept(index);
        forwardAll();
    }
}

relay::relay(std::vector<relay_route> routes)
    : m_data(std::make_unique<data>())
{
    m_data->routes = std::move(routes);
}

relay::~relay() { stop(); }

result<void> relay::start()
{
    for (const auto& route : m_data->routes) {
        if (auto listening = m_data->listenOn(route); !listening)
            return listening;
    }
    m_data->thread = std::thread([this] { m_data->run(); });
    return {};
}

void relay::stop()
{
    m_data->stopping.store(true);
    if (m_data->thread.joinable())
        m_data->thread.join();
    for (const auto& entry : m_data->connections)
        data::closeConnection(entry);
    m_data->connections.clear();
    for (const int listener : m_data->listeners)
        close(listener);
    m_data->listeners.clear();
}

void relay::blockLink(const std::string& from, const std::string& to)
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->blockedLinks.emplace(from, to);
}

void relay::heal()
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->blockedLinks.clear();
}

} // namespace coriandermount::standins
