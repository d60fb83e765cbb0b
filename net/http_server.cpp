#include "net/http_server.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>

#include "core/guarded_call.h"
#include "core/log.h"

namespace coriandermount::net {

namespace {

    constexpr std::size_t connectionMemoryBytes = 8 * 1024;
    /// First capacity of the buffer of a body whose length is not announced; it doubles as the body grows.
    constexpr std::size_t firstBodyCapacity = 1024;
    constexpr std::chrono::seconds bodyRetryDelay { 1 };
    /// Maximum wait in `http_server::stop` until the responses to pending requests are written.
    constexpr std::chrono::milliseconds finalResponsesTimeout { 500 };
    constexpr std::chrono::milliseconds finalResponsesPollInterval { 1 };

    MHD_Result storeValue(void* target, MHD_ValueKind, const char* key, const char* value)
    {
        auto& pairs = *static_cast<std::map<std::string, std::string>*>(target);
        pairs[key] = value ? value : "";
        return MHD_YES;
    }

    std::map<std::string, std::string> valuesOf(MHD_Connection* connection, MHD_ValueKind kind)
    {
        std::map<std::string, std::string> pairs;
        MHD_get_connection_values(connection, kind, &storeValue, &pairs);
        return pairs;
    }

    MHD_Result queueResponse(MHD_Connection* connection, const http_response& response)
    {
        if (response.dropConnection)
            return MHD_NO;
        // libmicrohttpd copies the body and never writes through the pointer.
        MHD_Response* raw = MHD_create_response_from_buffer(
            response.body.size(), const_cast<char*>(response.body.data()), MHD_RESPMEM_MUST_COPY);
        if (!response.contentType.empty())
            MHD_add_response_header(raw, MHD_HTTP_HEADER_CONTENT_TYPE, response.contentType.c_str());
        for (const auto& [name, value] : response.headers)
            MHD_add_response_header(raw, name.c_str(), value.c_str());
        const MHD_Result queued = MHD_queue_response(connection, static_cast<unsigned>(response.status), raw);
        MHD_destroy_response(raw);
        return queued;
    }

    /// Returns the response to a request whose body is refused. Such a request has not reached the handler.
    http_response bodyRefusedResponse(body_refusal reason, std::size_t maxBodyBytes)
    {
        const bool isTooLong = reason == body_refusal::too_long;
        const auto& row = rowOf(isTooLong ? error_kind::payload_too_large : error_kind::body_memory_exceeded);
        http_response response;
        response.status = row.httpStatus;
        response.headers["Connection"] = "close";
        if (isTooLong) {
            response.body = fmt::format(R"({{"error":"{}","outcome":"{}","detail":"the body is longer than {} bytes"}})",
                row.name, nameOf(row.result), maxBodyBytes);
            return response;
        }
        response.headers["Retry-After"] = fmt::to_string(bodyRetryDelay.count());
        response.body = fmt::format(R"({{"error":"{}","outcome":"{}","detail":"{}","retry_ms":{}}})", row.name,
            nameOf(row.result), row.message, std::chrono::milliseconds(bodyRetryDelay).count());
        return response;
    }

    /// Returns the announced length of the body; nothing if the request has no body or does not announce its length.
    std::optional<std::uint64_t> announcedLength(MHD_Connection* connection)
    {
        if (MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_TRANSFER_ENCODING))
            return std::nullopt;
        const char* text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
        if (!text)
            return std::nullopt;
        const std::string_view digits(text);
        std::uint64_t length = 0;
        // libmicrohttpd has rejected any other value.
        std::from_chars(digits.data(), digits.data() + digits.size(), length);
        return length;
    }

    body_budget::source sourceOf(MHD_Connection* connection)
    {
        const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
        if (!info || !info->client_addr || info->client_addr->sa_family != AF_INET)
            return 0;
        return reinterpret_cast<const sockaddr_in*>(info->client_addr)->sin_addr.s_addr;
    }

    /// Returns the response to requests that are pending, or arrive, while the server stops.
    http_response shutdownResponse(const http_server_options& options)
    {
        const auto& row = rowOf(error_kind::shutdown_limit_reached);
        http_response response;
        response.status = options.abandonedStatus > 0 ? options.abandonedStatus : row.httpStatus;
        response.body = fmt::format(R"({{"error":"{}","outcome":"{}"}})", row.name, nameOf(row.result));
        return response;
    }

    /// Returns the response to a request whose handler has thrown an exception.
    http_response unexpectedErrorResponse()
    {
        const auto& row = rowOf(error_kind::internal_error);
        http_response response;
        response.status = row.httpStatus;
        response.body = fmt::format(R"({{"error":"{}","outcome":"{}"}})", row.name, nameOf(row.result));
        return response;
    }

    pollfd hangUpQuery(int descriptor) { return { descriptor, POLLRDHUP, 0 }; }

    /// Returns whether the peer has closed its side of the connection, or the connection is broken.
    bool isHungUp(const pollfd& answered) { return (answered.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0; }

    /// Passes the response from the thread that replies to the thread that owns the connection. Thread-safe.
    class pending_request final : public responder {
    public:
        explicit pending_request(MHD_Connection* connection)
            : m_connection(connection)
        {
        }

        void reply(http_response response) override
        {
            const std::scoped_lock lock(m_mutex);
            if (m_response || m_abandoned)
                return;
            m_response = std::move(response);
            if (m_suspended)
                resume();
        }

        /// Returns the response if there is one already, and suspends the connection otherwise. Called by the connection's thread
        /// after the handler returned.
        std::optional<http_response> responseOrSuspend()
        {
            const std::scoped_lock lock(m_mutex);
            if (m_response)
                return m_response;
            m_suspended = true;
            MHD_suspend_connection(m_connection);
            return std::nullopt;
        }

        /// Returns a copy of the response, or nothing if there is none yet.
        std::optional<http_response> currentResponse()
        {
            const std::scoped_lock lock(m_mutex);
            return m_response;
        }

        bool isDisconnected() override
        {
            const std::scoped_lock lock(m_mutex);
            if (m_abandoned)
                return true;
            // The socket is not closed before there is a response.
            return !m_response && isSocketHungUp();
        }

        void onDisconnect(std::function<void()> callback) override
        {
            const std::scoped_lock lock(m_mutex);
            m_onDisconnect = std::move(callback);
        }

        /// Returns the socket of the connection if it has to be watched, or -1. The socket may be closed, and its number used
        /// again, as soon as this function has returned.
        int watchedSocket()
        {
            const std::scoped_lock lock(m_mutex);
            return m_suspended && m_onDisconnect ? socket() : -1;
        }

        /// Returns the callback if the client has closed the connection, which is watched no more then; empty otherwise.
        std::function<void()> takeDisconnect()
        {
            const std::scoped_lock lock(m_mutex);
            // While the connection is suspended, its socket is not closed.
            if (!m_suspended || !m_onDisconnect)
                return {};
            if (!isSocketHungUp())
                return {};
            return std::exchange(m_onDisconnect, nullptr);
        }

        /// Marks the connection as closed; later replies are ignored.
        void abandon()
        {
            const std::scoped_lock lock(m_mutex);
            m_abandoned = true;
        }

    private:
        void resume()
        {
            m_suspended = false;
            MHD_resume_connection(m_connection);
        }

        bool isSocketHungUp() const
        {
            pollfd query = hangUpQuery(socket());
            return poll(&query, 1, 0) > 0 && isHungUp(query);
        }

        int socket() const
        {
            const MHD_ConnectionInfo* info = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_CONNECTION_FD);
            return info ? info->connect_fd : -1;
        }

        std::mutex m_mutex;
        MHD_Connection* m_connection;
        std::function<void()> m_onDisconnect;
        std::optional<http_response> m_response;
        bool m_suspended = false;
        bool m_abandoned = false;
    };

    /// State of one request, owned by its connection.
    struct exchange {
        std::string body;
        /// Length that the header announces; 0 if it announces none.
        std::size_t announced = 0;
        /// Holds the memory of the body until the request ends; empty for a listener without a budget.
        std::optional<body_budget::claim> claim;
        std::chrono::steady_clock::time_point receivedHeaderAt = std::chrono::steady_clock::now();
        /// Set when the rest of the body is read without being kept, to be answered at its end.
        std::optional<body_refusal> refusal;
        std::size_t discardedBytes = 0;
        std::shared_ptr<pending_request> pending;

        /// Returns the capacity that the buffer needs for `bytes`.
        std::size_t capacityFor(std::size_t bytes, std::size_t maxBodyBytes) const
        {
            if (bytes <= announced)
                return announced;
            return std::max(bytes, std::min(std::max(2 * body.capacity(), firstBodyCapacity), maxBodyBytes));
        }
    };

} // namespace

struct http_server::data {
    http_server_options options;
    http_handler handler;
    MHD_Daemon* daemon = nullptr;
    std::uint16_t port = 0;
    std::mutex mutex;
    std::unordered_map<exchange*, std::weak_ptr<pending_request>> pending;
    std::atomic<std::size_t> pendingCount { 0 };
    bool stopping = false;

    static MHD_Result onRequest(void* context, MHD_Connection* connection, const char* url, const char* method, const char*,
        const char* uploadData, std::size_t* uploadSize, void** state);
    static void onCompleted(void* context, MHD_Connection*, void** state, MHD_RequestTerminationCode);

    /// Decides by the header whether the body is received; answers the request if it is not.
    MHD_Result admit(exchange& current, MHD_Connection* connection, const char* url);
    MHD_Result receive(exchange& current, const char* url, const char* uploadData, std::size_t* uploadSize) const;
    /// Raises the claim of a body; returns the reason when the budget does not allow it.
    static std::optional<body_refusal> claimMemory(exchange& current, std::size_t bytes);
    void reportRefusal(body_refusal reason, const char* url) const;
    /// Registers a pending request; returns false if the server is stopping.
    bool addPending(exchange& current);
    /// Waits until all responses are written, or the timeout ends.
    void waitForFinalResponses() const;
    MHD_Result dispatch(exchange& current, MHD_Connection* connection, const char* url, const char* method);
};

MHD_Result http_server::data::admit(exchange& current, MHD_Connection* connection, const char* url)
{
    if (options.bodyBudget)
        current.claim.emplace(*options.bodyBudget, sourceOf(connection));
    const auto length = announcedLength(connection);
    if (!length)
        return MHD_YES;
    const bool isTooLong = *length > options.maxBodyBytes;
    const auto refusal = isTooLong ? body_refusal::too_long : claimMemory(current, static_cast<std::size_t>(*length));
    if (refusal) {
        reportRefusal(*refusal, url);
        return queueResponse(connection, bodyRefusedResponse(*refusal, options.maxBodyBytes));
    }
    current.announced = static_cast<std::size_t>(*length);
    return MHD_YES;
}

MHD_Result http_server::data::receive(exchange& current, const char* url, const char* uploadData, std::size_t* uploadSize) const
{
    const std::size_t received = std::exchange(*uploadSize, 0);
    if (std::chrono::steady_clock::now() - current.receivedHeaderAt > options.bodyTimeout) {
        reportRefusal(body_refusal::too_slow, url);
        return MHD_NO;
    }
    if (!current.refusal) {
        const std::size_t needed = current.body.size() + received;
        if (needed > options.maxBodyBytes) {
            current.refusal = body_refusal::too_long;
        } else if (needed > current.body.capacity()) {
            const std::size_t capacity = current.capacityFor(needed, options.maxBodyBytes);
            current.refusal = claimMemory(current, capacity);
            if (!current.refusal)
                current.body.reserve(capacity);
        }
        if (!current.refusal) {
            current.body.append(uploadData, received);
            return MHD_YES;
        }
        reportRefusal(*current.refusal, url);
        current.body = {};
        if (current.claim)
            current.claim->release();
    }
    // libmicrohttpd sends no response before the end of a chunked body.
    current.discardedBytes += received;
    return current.discardedBytes <= options.maxBodyBytes ? MHD_YES : MHD_NO;
}

std::optional<body_refusal> http_server::data::claimMemory(exchange& current, std::size_t bytes)
{
    return current.claim ? current.claim->raise(bytes) : std::nullopt;
}

void http_server::data::reportRefusal(body_refusal reason, const char* url) const
{
    if (options.bodyBudget)
        options.bodyBudget->countRefusal(reason);
    constexpr std::size_t longestPath = 200;
    writeLog(log_level::info, "http_server", "request body refused",
        { { "reason", std::string(nameOf(reason)) }, { "path", std::string(url).substr(0, longestPath) } });
}

MHD_Result http_server::data::dispatch(exchange& current, MHD_Connection* connection, const char* url, const char* method)
{
    if (current.refusal)
        return queueResponse(connection, bodyRefusedResponse(*current.refusal, options.maxBodyBytes));
    if (current.pending) {
        const auto response = current.pending->currentResponse();
        return response ? queueResponse(connection, *response) : MHD_YES;
    }

    http_request request;
    request.method = method;
    request.path = url;
    request.query = valuesOf(connection, MHD_GET_ARGUMENT_KIND);
    request.headers = valuesOf(connection, MHD_HEADER_KIND);
    request.body = std::move(current.body);
    current.pending = std::make_shared<pending_request>(connection);
    // The request may repeat one that the handler has accepted, so it cannot be answered as not run.
    if (!addPending(current))
        return queueResponse(connection, shutdownResponse(options));
    pendingCount.fetch_add(1, std::memory_order_relaxed);
    if (!runGuarded("http_server", [&] { handler(std::move(request), current.pending); })) {
        // The handler may have passed the request on before it failed. After an earlier reply, this one has no effect.
        current.pending->reply(unexpectedErrorResponse());
    }
    const auto response = current.pending->responseOrSuspend();
    return response ? queueResponse(connection, *response) : MHD_YES;
}

MHD_Result http_server::data::onRequest(void* context, MHD_Connection* connection, const char* url, const char* method,
    const char*, const char* uploadData, std::size_t* uploadSize, void** state)
{
    auto& self = *static_cast<data*>(context);
    if (!*state) {
        *state = std::make_unique<exchange>().release();
        return self.admit(*static_cast<exchange*>(*state), connection, url);
    }
    auto& current = *static_cast<exchange*>(*state);
    if (*uploadSize > 0)
        return self.receive(current, url, uploadData, uploadSize);
    return self.dispatch(current, connection, url, method);
}

bool http_server::data::addPending(exchange& current)
{
    const std::scoped_lock lock(mutex);
    if (!stopping)
        pending.emplace(&current, current.pending);
    else
        current.pending.reset();
    return !stopping;
}

void http_server::data::waitForFinalResponses() const
{
    const auto deadline = std::chrono::steady_clock::now() + finalResponsesTimeout;
    while (pendingCount.load() > 0 && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(finalResponsesPollInterval);
}

void http_server::data::onCompleted(void* context, MHD_Connection*, void** state, MHD_RequestTerminationCode)
{
    auto& self = *static_cast<data*>(context);
    const std::unique_ptr<exchange> current(static_cast<exchange*>(*state));
    *state = nullptr;
    if (!current || !current->pending)
        return;
    current->pending->abandon();
    self.pendingCount.fetch_sub(1, std::memory_order_relaxed);
    const std::scoped_lock lock(self.mutex);
    self.pending.erase(current.get());
}

http_server::http_server(http_server_options options, http_handler handler)
    : m_data(std::make_unique<data>())
{
    m_data->options = std::move(options);
    m_data->handler = std::move(handler);
}

http_server::~http_server() { stop(); }

result<void> http_server::start()
{
    const auto& options = m_data->options;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1)
        return fail(error_kind::settings_invalid, fmt::format("\"{}\" is not an IPv4 address", options.address));

    const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME
        | (options.dateHeader ? 0U : unsigned { MHD_USE_SUPPRESS_DATE_NO_CLOCK });
    m_data->daemon = MHD_start_daemon(flags, options.port, nullptr, nullptr, &data::onRequest, m_data.get(), MHD_OPTION_SOCK_ADDR,
        reinterpret_cast<sockaddr*>(&address), MHD_OPTION_THREAD_POOL_SIZE, options.threads > 1 ? options.threads : 0U,
        MHD_OPTION_CONNECTION_LIMIT, options.maxConnections, MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(options.idleTimeout.count()), MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemoryBytes,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED, &data::onCompleted, m_data.get(), MHD_OPTION_END);
    if (!m_data->daemon)
        return fail(error_kind::settings_invalid, fmt::format("can't listen on {}:{}", options.address, options.port));
    m_data->port = MHD_get_daemon_info(m_data->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    return {};
}

void http_server::stop()
{
    if (!m_data->daemon)
        return;
    std::vector<std::shared_ptr<pending_request>> unanswered;
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->stopping = true;
        for (const auto& [current, weak] : m_data->pending) {
            if (auto request = weak.lock())
                unanswered.push_back(std::move(request));
        }
    }
    const http_response abandoned = shutdownResponse(m_data->options);
    for (const auto& request : unanswered)
        request->reply(abandoned);
    unanswered.clear();
    m_data->waitForFinalResponses();
    // The daemon is stopped without quiescing it first: in libmicrohttpd 0.9.75, MHD_quiesce_daemon and the daemon's thread race
    // to remove the listening socket, which aborts the process.
    MHD_stop_daemon(m_data->daemon);
    m_data->daemon = nullptr;
}

void http_server::checkDisconnects()
{
    std::vector<std::shared_ptr<pending_request>> watched;
    std::vector<pollfd> queries;
    {
        const std::scoped_lock lock(m_data->mutex);
        for (const auto& [current, weak] : m_data->pending) {
            auto request = weak.lock();
            const int descriptor = request ? request->watchedSocket() : -1;
            if (descriptor < 0)
                continue;
            watched.push_back(std::move(request));
            queries.push_back(hangUpQuery(descriptor));
        }
    }
    if (queries.empty() || poll(queries.data(), queries.size(), 0) <= 0)
        return;
    for (std::size_t index = 0; index < queries.size(); ++index) {
        // A socket may have been closed since, and its number used by another connection, so the request looks again.
        const auto disconnected = queries[index].revents != 0 ? watched[index]->takeDisconnect() : nullptr;
        if (disconnected)
            runGuarded("http_server", disconnected);
    }
}

std::uint16_t http_server::port() const { return m_data->port; }

std::size_t http_server::pendingRequests() const { return m_data->pendingCount.load(std::memory_order_relaxed); }

} // namespace coriandermount::net
