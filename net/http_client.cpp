#include "net/http_client.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

#include <curl/curl.h>
#include <strings.h>

#include "core/guarded_call.h"

namespace coriandermount::net {

namespace {

    using steady_time = std::chrono::steady_clock::time_point;

    constexpr std::chrono::milliseconds longestPoll { 1000 };

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
    std::thread thread;

    void run();
    void startSubmitted();
    void begin(std::unique_ptr<transfer> current);
    void collectFinished();
    /// Fails the calls whose deadlines have passed at `now` before their requests were sent, so that these are not sent late.
    void failUnsent(steady_time now);
    /// Fails the calls whose deadlines had passed at `readAt`. The sockets must have been read after that time.
    void failOverdue(steady_time readAt);
    std::chrono::milliseconds timeToNextDeadline() const;
    void finish(CURL* handle, CURLcode code);
    void countTraffic(CURL* handle);
};

void http_client::data::run()
{
    while (!stopping.load()) {
        startSubmitted();
        // The thread may have had no processor time for longer than the timeout of a call: an answer that has arrived meanwhile
        // is read before the call is judged. The timeouts of libcurl are not used, because it checks them before it reads a
        // socket.
        const auto readAt = std::chrono::steady_clock::now();
        failUnsent(readAt);
        int active = 0;
        curl_multi_perform(multi, &active);
        collectFinished();
        failOverdue(readAt);
        curl_multi_poll(multi, nullptr, 0, static_cast<int>(timeToNextDeadline().count()), nullptr);
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
    if (deadlines.empty())
        return longestPoll;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadlines.begin()->first - std::chrono::steady_clock::now());
    return std::clamp(left, std::chrono::milliseconds(0), longestPoll);
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
            transport_error { progress, code == CURLE_OPERATION_TIMEDOUT, curl_easy_strerror(code) }));
    });
}

http_client::http_client(http_client_options options)
    : m_data(std::make_unique<data>())
{
    static const curl_library library;
    m_data->options = std::move(options);
    m_data->multi = curl_multi_init();
    curl_multi_setopt(m_data->multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(m_data->options.maxConnectionsPerServer));
    curl_multi_setopt(m_data->multi, CURLMOPT_MAXCONNECTS, static_cast<long>(m_data->options.maxCachedConnections));
    m_data->thread = std::thread([this] { m_data->run(); });
}

http_client::~http_client()
{
    m_data->stopping.store(true);
    curl_multi_wakeup(m_data->multi);
    m_data->thread.join();
    for (CURL* handle : m_data->idleHandles)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(m_data->multi);
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
        curl_multi_wakeup(m_data->multi);
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
