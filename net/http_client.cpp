#include "net/http_client.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>

#include <curl/curl.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "core/guarded_call.h"

namespace coriandermount::net {

namespace {

    using steady_time = std::chrono::steady_clock::time_point;

    constexpr std::chrono::milliseconds longestPoll { 1000 };
    /// Number of ready sockets that are handled in one turn.
    constexpr int eventsPerTurn = 64;

    /// Initializes libcurl once for the process.
    struct curl_library {
        curl_library() { curl_global_init(CURL_GLOBAL_DEFAULT); }
    };

    struct free_headers {
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };

    struct transfer;

    /// Running calls by their next deadlines.
    using deadline_list = std::multimap<steady_time, transfer*>;

    struct transfer {
        http_call call;
        http_completion done;
        std::size_t bodySent = 0;
        std::size_t maxReplyBytes = 0;
        http_reply reply;
        std::unique_ptr<curl_slist, free_headers> headers;
        CURL* handle = nullptr;
        /// Time at which the call fails.
        steady_time deadline;
        deadline_list::iterator nextDeadline;
    };

    std::size_t readBody(char* buffer, std::size_t size, std::size_t count, void* context)
    {
        auto& current = *static_cast<transfer*>(context);
        const std::size_t length = std::min(size * count, current.call.body.size() - current.bodySent);
        current.call.body.copy(buffer, length, current.bodySent);
        current.bodySent += length;
        return length;
    }

    /// Fails the rewind of a request body: libcurl would resend a request when a reused connection closes without a reply.
    int rejectRewind(void*, curl_off_t, int) { return CURL_SEEKFUNC_FAIL; }

    /// Appends to the body of a reply; returning less than the received length fails the transfer.
    std::size_t appendReplyBody(char* bytes, std::size_t size, std::size_t count, void* context)
    {
        auto& current = *static_cast<transfer*>(context);
        const std::size_t length = size * count;
        if (current.reply.body.size() + length > current.maxReplyBytes)
            return 0;
        current.reply.body.append(bytes, length);
        return length;
    }

    /// Stores the value of the ETag header in the reply.
    std::size_t readEntityTag(char* bytes, std::size_t size, std::size_t count, void* context)
    {
        constexpr std::string_view name = "etag:";
        const std::string_view line(bytes, size * count);
        if (line.size() > name.size() && strncasecmp(line.data(), name.data(), name.size()) == 0) {
            const std::size_t first = line.find_first_not_of(' ', name.size());
            const std::size_t last = line.find_last_not_of("\r\n ");
            if (first <= last && last != std::string_view::npos)
                static_cast<transfer*>(context)->reply.entityTag = line.substr(first, last - first + 1);
        }
        return line.size();
    }

    /// Returns how far the request got, over all connections: libcurl tries a request again on a new connection when a reused one
    /// closes without a reply, and its error code tells only what became of the last one. A request with a body was not sent if
    /// no byte of the body was read, a request without one if no byte of its headers was written.
    transport_progress progressOf(const transfer& current)
    {
        long headersSent = 0;
        curl_easy_getinfo(current.handle, CURLINFO_REQUEST_SIZE, &headersSent);
        const bool hasBody = current.call.method != "GET" && !current.call.body.empty();
        const bool sent = hasBody ? current.bodySent > 0 : headersSent > 0;
        return sent ? transport_progress::may_have_arrived : transport_progress::not_sent;
    }

    /// Returns whether the call has got a connection and used it.
    bool isConnected(const transfer& current)
    {
        long headersSent = 0;
        curl_easy_getinfo(current.handle, CURLINFO_REQUEST_SIZE, &headersSent);
        return headersSent > 0;
    }

} // namespace

struct http_client::data {
    http_client_options options;
    CURLM* multi = nullptr;
    std::mutex mutex;
    std::vector<std::unique_ptr<transfer>> submitted;
    std::atomic<bool> stopping { false };
    std::atomic<std::uint64_t> calls { 0 };
    std::atomic<std::uint64_t> sentBytes { 0 };
    std::atomic<std::uint64_t> receivedBytes { 0 };
    std::unordered_map<CURL*, std::unique_ptr<transfer>> running;
    deadline_list deadlines;
    std::vector<CURL*> idleHandles;
    /// Sockets of the calls, and the event that `send` and the destructor raise.
    int epoll = -1;
    int wakeup = -1;
    /// When libcurl asks to be called, if it does.
    std::optional<steady_time> timer;
    std::thread thread;

    static int onSocketChange(CURL*, curl_socket_t socket, int wanted, void* context, void* known);
    static int onTimerChange(CURLM*, long milliseconds, void* context);

    void open();
    void run();
    void raiseWakeup() const;
    /// Waits up to `limit` for sockets and handles those that are ready, and calls for which libcurl's timer is due; returns the
    /// number of ready sockets. `beforeReading` is called before any socket is used.
    template <class Call> int handleSockets(std::chrono::milliseconds limit, const Call& beforeReading);
    void handleTimer();
    /// Reads all sockets that are ready.
    void drainSockets();
    void startSubmitted();
    void begin(std::unique_ptr<transfer> current);
    void collectFinished();
    /// Fails the calls whose deadlines have passed at `now` before their requests were sent, so that these are not sent late.
    void failUnsent(steady_time now);
    /// Fails the calls whose deadlines had passed at `readAt`. The sockets must have been read after that time.
    void failOverdue(steady_time readAt);
    /// Returns the time until a deadline passes or libcurl asks to be called.
    std::chrono::milliseconds timeToNextDeadline() const;
    void finish(CURL* handle, CURLcode code);
    void countTraffic(CURL* handle);
};

int http_client::data::onSocketChange(CURL*, curl_socket_t socket, int wanted, void* context, void* known)
{
    auto& self = *static_cast<data*>(context);
    if (wanted == CURL_POLL_REMOVE) {
        epoll_ctl(self.epoll, EPOLL_CTL_DEL, socket, nullptr);
        curl_multi_assign(self.multi, socket, nullptr);
        return 0;
    }
    epoll_event event {};
    event.events = (wanted & CURL_POLL_IN ? EPOLLIN : 0U) | (wanted & CURL_POLL_OUT ? EPOLLOUT : 0U);
    event.data.fd = socket;
    // The number of a closed socket may be used again before libcurl has taken leave of the old one.
    if (epoll_ctl(self.epoll, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event) != 0)
        epoll_ctl(self.epoll, known ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
    curl_multi_assign(self.multi, socket, &self);
    return 0;
}

int http_client::data::onTimerChange(CURLM*, long milliseconds, void* context)
{
    auto& self = *static_cast<data*>(context);
    if (milliseconds < 0)
        self.timer.reset();
    else
        self.timer = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    return 0;
}

void http_client::data::open()
{
    multi = curl_multi_init();
    epoll = epoll_create1(EPOLL_CLOEXEC);
    wakeup = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    epoll_event event {};
    event.events = EPOLLIN;
    event.data.fd = wakeup;
    epoll_ctl(epoll, EPOLL_CTL_ADD, wakeup, &event);
    curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(options.maxConnectionsPerServer));
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, static_cast<long>(options.maxCachedConnections));
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &onSocketChange);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &onTimerChange);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
}

void http_client::data::raiseWakeup() const
{
    const std::uint64_t one = 1;
    // A failed write leaves an event that has been raised and not handled yet.
    [[maybe_unused]] const auto written = write(wakeup, &one, sizeof one);
}

template <class Call> int http_client::data::handleSockets(std::chrono::milliseconds limit, const Call& beforeReading)
{
    // Only the sockets that are ready are touched. `curl_multi_perform` looks at all calls, each of which costs a system call,
    // and an owner has a long poll open at every worker.
    std::array<epoll_event, eventsPerTurn> events {};
    const int ready = epoll_wait(epoll, events.data(), eventsPerTurn, static_cast<int>(limit.count()));
    beforeReading();
    int active = 0;
    for (int index = 0; index < ready; ++index) {
        const epoll_event& event = events[static_cast<std::size_t>(index)];
        if (event.data.fd == wakeup) {
            std::uint64_t raised = 0;
            [[maybe_unused]] const auto taken = read(wakeup, &raised, sizeof raised);
            continue;
        }
        const int readable = event.events & (EPOLLIN | EPOLLHUP | EPOLLERR) ? CURL_CSELECT_IN : 0;
        const int writable = event.events & EPOLLOUT ? CURL_CSELECT_OUT : 0;
        const int broken = event.events & EPOLLERR ? CURL_CSELECT_ERR : 0;
        curl_multi_socket_action(multi, event.data.fd, readable | writable | broken, &active);
    }
    handleTimer();
    collectFinished();
    return ready;
}

void http_client::data::handleTimer()
{
    int active = 0;
    if (timer && *timer <= std::chrono::steady_clock::now()) {
        timer.reset();
        curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &active);
    }
}

void http_client::data::drainSockets()
{
    while (handleSockets(std::chrono::milliseconds(0), [] {}) == eventsPerTurn) { }
}

void http_client::data::run()
{
    while (!stopping.load()) {
        startSubmitted();
        handleTimer();
        collectFinished();
        auto readAt = std::chrono::steady_clock::now();
        handleSockets(timeToNextDeadline(), [&] {
            readAt = std::chrono::steady_clock::now();
            failUnsent(readAt);
        });
        // The thread may have had no processor time for longer than the timeout of a call: an answer that has arrived meanwhile
        // is read before the call is judged. The timeouts of libcurl are not used, because it checks them before it reads a
        // socket.
        if (deadlines.empty() || deadlines.begin()->first > readAt)
            continue;
        drainSockets();
        failOverdue(readAt);
    }
    startSubmitted();
    while (!running.empty())
        finish(running.begin()->first, CURLE_ABORTED_BY_CALLBACK);
}

void http_client::data::startSubmitted()
{
    std::vector<std::unique_ptr<transfer>> batch;
    {
        const std::scoped_lock lock(mutex);
        batch.swap(submitted);
    }
    for (auto& current : batch)
        begin(std::move(current));
}

void http_client::data::begin(std::unique_ptr<transfer> current)
{
    CURL* handle = nullptr;
    if (idleHandles.empty()) {
        handle = curl_easy_init();
    } else {
        handle = idleHandles.back();
        idleHandles.pop_back();
    }
    const http_call& call = current->call;
    // A header without a value makes libcurl omit the header that it would add by default.
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    headers = curl_slist_append(headers, "Accept:");
    for (const auto& header : call.headers)
        headers = curl_slist_append(headers, header.c_str());
    current->headers.reset(headers);
    current->handle = handle;
    current->maxReplyBytes = options.maxReplyBytes;
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, call.newConnection ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &appendReplyBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, current.get());
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &readEntityTag);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, current.get());
    if (!options.sourceAddress.empty())
        curl_easy_setopt(handle, CURLOPT_INTERFACE, options.sourceAddress.c_str());
    if (call.method != "GET") {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_READFUNCTION, &readBody);
        curl_easy_setopt(handle, CURLOPT_READDATA, current.get());
        curl_easy_setopt(handle, CURLOPT_SEEKFUNCTION, &rejectRewind);
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    const auto now = std::chrono::steady_clock::now();
    current->deadline = now + call.timeout;
    current->nextDeadline = deadlines.emplace(now + std::min(call.connectTimeout, call.timeout), current.get());
    running.emplace(handle, std::move(current));
    curl_multi_add_handle(multi, handle);
}

void http_client::data::collectFinished()
{
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &remaining)) {
        if (message->msg == CURLMSG_DONE)
            finish(message->easy_handle, message->data.result);
    }
}

void http_client::data::failUnsent(steady_time now)
{
    for (auto entry = deadlines.begin(); entry != deadlines.end() && entry->first <= now;) {
        const transfer& current = *(entry++)->second;
        if (current.deadline <= now && progressOf(current) == transport_progress::not_sent)
            finish(current.handle, CURLE_OPERATION_TIMEDOUT);
    }
}

void http_client::data::failOverdue(steady_time readAt)
{
    while (!deadlines.empty() && deadlines.begin()->first <= readAt) {
        transfer& current = *deadlines.begin()->second;
        if (current.deadline <= readAt || !isConnected(current)) {
            finish(current.handle, CURLE_OPERATION_TIMEDOUT);
            continue;
        }
        deadlines.erase(current.nextDeadline);
        current.nextDeadline = deadlines.emplace(current.deadline, &current);
    }
}

std::chrono::milliseconds http_client::data::timeToNextDeadline() const
{
    const auto now = std::chrono::steady_clock::now();
    auto next = now + longestPoll;
    if (!deadlines.empty())
        next = std::min(next, deadlines.begin()->first);
    if (timer)
        next = std::min(next, *timer);
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(next - now), std::chrono::milliseconds(0));
}

void http_client::data::countTraffic(CURL* handle)
{
    long requestHeaders = 0;
    long replyHeaders = 0;
    curl_off_t uploaded = 0;
    curl_off_t downloaded = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &requestHeaders);
    curl_easy_getinfo(handle, CURLINFO_HEADER_SIZE, &replyHeaders);
    curl_easy_getinfo(handle, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    curl_easy_getinfo(handle, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
    calls.fetch_add(1, std::memory_order_relaxed);
    sentBytes.fetch_add(static_cast<std::uint64_t>(requestHeaders + uploaded), std::memory_order_relaxed);
    receivedBytes.fetch_add(static_cast<std::uint64_t>(replyHeaders + downloaded), std::memory_order_relaxed);
}

void http_client::data::finish(CURL* handle, CURLcode code)
{
    auto node = running.extract(handle);
    const std::unique_ptr<transfer> current = std::move(node.mapped());
    deadlines.erase(current->nextDeadline);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    countTraffic(handle);
    const transport_progress progress = progressOf(*current);
    long systemError = 0;
    curl_easy_getinfo(handle, CURLINFO_OS_ERRNO, &systemError);
    const bool connectionRefused = code == CURLE_COULDNT_CONNECT && systemError == ECONNREFUSED;
    curl_multi_remove_handle(multi, handle);
    curl_easy_reset(handle);
    idleHandles.push_back(handle);
    runGuarded("http_client", [&] {
        if (code == CURLE_OK) {
            current->reply.status = static_cast<int>(status);
            current->done(std::move(current->reply));
            return;
        }
        current->done(tl::unexpected<transport_error>(
            transport_error { progress, code == CURLE_OPERATION_TIMEDOUT, connectionRefused, curl_easy_strerror(code) }));
    });
}

http_client::http_client(http_client_options options)
    : m_data(std::make_unique<data>())
{
    static const curl_library library;
    m_data->options = std::move(options);
    m_data->open();
    m_data->thread = std::thread([this] { m_data->run(); });
}

http_client::~http_client()
{
    m_data->stopping.store(true);
    m_data->raiseWakeup();
    m_data->thread.join();
    for (CURL* handle : m_data->idleHandles)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(m_data->multi);
    close(m_data->epoll);
    close(m_data->wakeup);
}

void http_client::send(http_call call, http_completion done)
{
    auto current = std::make_unique<transfer>();
    current->call = std::move(call);
    current->done = std::move(done);
    bool first = false;
    {
        const std::scoped_lock lock(m_data->mutex);
        first = m_data->submitted.empty();
        m_data->submitted.push_back(std::move(current));
    }
    if (first)
        m_data->raiseWakeup();
}

tl::expected<http_reply, transport_error> http_client::sendAndWait(http_call call)
{
    std::promise<tl::expected<http_reply, transport_error>> promise;
    auto future = promise.get_future();
    send(std::move(call), [&promise](tl::expected<http_reply, transport_error> reply) { promise.set_value(std::move(reply)); });
    return future.get();
}

http_traffic http_client::traffic() const
{
    return { m_data->calls.load(), m_data->sentBytes.load(), m_data->receivedBytes.load() };
}

} // namespace coriandermount::net
