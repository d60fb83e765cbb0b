#include "standins/platform_server.h"

#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "net/http_server.h"
#include "platform/codec.h"

namespace coriandermount::standins {

using std::chrono::steady_clock;

namespace {

    constexpr int statusUnavailable = 503;
    constexpr int statusNotFound = 404;
    constexpr int statusNotModified = 304;
    constexpr int statusBadRequest = 400;
    constexpr std::string_view logPrefix = "/log/";
    constexpr std::size_t defaultReadLimit = 1000;

    struct stream_state {
        platform::log_offset firstKept = 1;
        std::deque<std::string> bodies;

        platform::log_offset end() const { return firstKept + bodies.size(); }
    };

    struct listing_version {
        steady_clock::time_point visibleAt;
        platform::vm_listing listing;
    };

    struct delayed_reply {
        std::shared_ptr<net::responder> responder;
        net::http_response response;
    };

    net::http_response bodyResponse(std::string body)
    {
        net::http_response response;
        response.body = std::move(body);
        return response;
    }

    net::http_response statusResponse(int status)
    {
        net::http_response response;
        response.status = status;
        return response;
    }

    /// Returns the listing without the workers of other failure domains.
    platform::vm_listing filterByDomain(platform::vm_listing listing, const std::string& domain)
    {
        std::erase_if(listing.workers, [&domain](const worker_info& worker) { return worker.domain.value != domain; });
        return listing;
    }

    /// Returns a number from the query of the request, or `defaultValue` if the query has no such field.
    std::uint64_t queryNumber(const net::http_request& request, const std::string& name, std::uint64_t defaultValue)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? defaultValue : std::strtoull(found->second.c_str(), nullptr, 10);
    }

} // namespace

struct platform_server::data {
    platform_server_options options;
    std::unique_ptr<net::http_server> server;
    std::mutex mutex;
    std::condition_variable timerWakeup;
    std::map<std::string, stream_state> streams;
    /// All lists of VMs so far, the oldest first.
    std::vector<listing_version> listings;
    /// Replies to appends by the time at which they are sent.
    std::multimap<steady_clock::time_point, delayed_reply> delayedReplies;
    bool stopping = false;
    std::thread timer;

    void handle(const net::http_request& request, const std::shared_ptr<net::responder>& responder);
    void handleAppend(const net::http_request& request, const std::shared_ptr<net::responder>& responder);
    net::http_response readResponse(const net::http_request& request);
    net::http_response listingResponse(const net::http_request& request);
    /// Handles `POST /faults`, which replaces the faults, and `POST /listing`, which replaces the list of VMs.
    net::http_response controlResponse(const net::http_request& request);
    platform::log_offset append(const std::string& stream, std::string body);
    void runTimer();
};

platform::log_offset platform_server::data::append(const std::string& stream, std::string body)
{
    stream_state& state = streams[stream];
    const platform::log_offset offset = state.end();
    state.bodies.push_back(std::move(body));
    if (state.bodies.size() > options.maxRecordsPerStream) {
        state.bodies.pop_front();
        ++state.firstKept;
    }
    return offset;
}

void platform_server::data::handle(const net::http_request& request, const std::shared_ptr<net::responder>& responder)
{
    const std::scoped_lock lock(mutex);
    if (request.path == "/vms") {
        responder->reply(listingResponse(request));
        return;
    }
    if (request.path == "/faults" || request.path == "/listing") {
        responder->reply(controlResponse(request));
        return;
    }
    if (!request.path.starts_with(logPrefix)) {
        responder->reply(statusResponse(statusNotFound));
        return;
    }
    if (options.faults.logDown) {
        responder->reply(statusResponse(statusUnavailable));
        return;
    }
    if (request.method == "POST")
        handleAppend(request, responder);
    else
        responder->reply(readResponse(request));
}

void platform_server::data::handleAppend(const net::http_request& request, const std::shared_ptr<net::responder>& responder)
{
    const platform::log_offset offset = append(request.path.substr(logPrefix.size()), request.body);
    net::http_response response = bodyResponse(platform::encodeOffset(offset));
    response.dropConnection = options.faults.dropAppendAnswers;
    delayedReplies.emplace(steady_clock::now() + options.appendLatency, delayed_reply { responder, std::move(response) });
    timerWakeup.notify_one();
}

net::http_response platform_server::data::readResponse(const net::http_request& request)
{
    const stream_state& state = streams[request.path.substr(logPrefix.size())];
    const std::uint64_t from = std::max<std::uint64_t>(queryNumber(request, "from", 0), state.firstKept);
    const std::uint64_t limit = queryNumber(request, "limit", defaultReadLimit);
    platform::log_batch batch;
    batch.firstKept = state.firstKept;
    batch.end = state.end();
    for (std::uint64_t offset = from; offset < state.end() && batch.records.size() < limit; ++offset)
        batch.records.push_back({ offset, state.bodies[offset - state.firstKept] });
    return bodyResponse(platform::encodeBatch(batch));
}

net::http_response platform_server::data::listingResponse(const net::http_request& request)
{
    if (options.faults.vmListDown)
        return statusResponse(statusUnavailable);
    const auto now = steady_clock::now();
    const auto visible = std::find_if(
        listings.rbegin(), listings.rend(), [now](const listing_version& version) { return version.visibleAt <= now; });
    if (visible == listings.rend())
        return statusResponse(statusUnavailable);
    net::http_response response;
    response.headers["ETag"] = fmt::format("\"{}\"", listings.rend() - visible);
    const auto known = request.headers.find("If-None-Match");
    if (known != request.headers.end() && known->second == response.headers["ETag"]) {
        response.status = statusNotModified;
        return response;
    }
    const auto domain = request.query.find("domain");
    response.body = platform::encodeListing(
        domain == request.query.end() ? visible->listing : filterByDomain(visible->listing, domain->second));
    return response;
}

net::http_response platform_server::data::controlResponse(const net::http_request& request)
{
    if (request.path == "/listing") {
        auto listing = platform::decodeListing(request.body);
        if (!listing)
            return statusResponse(statusBadRequest);
        listings.push_back({ steady_clock::now() + options.vmListLag, std::move(*listing) });
        return bodyResponse("{}");
    }
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return statusResponse(statusBadRequest);
    options.faults.logDown = body.value("log_down", false);
    options.faults.dropAppendAnswers = body.value("lose_append_answers", false);
    options.faults.vmListDown = body.value("vm_list_down", false);
    return bodyResponse("{}");
}

void platform_server::data::runTimer()
{
    std::unique_lock lock(mutex);
    while (!stopping) {
        if (delayedReplies.empty()) {
            timerWakeup.wait(lock);
            continue;
        }
        const auto next = delayedReplies.begin()->first;
        if (steady_clock::now() < next) {
            timerWakeup.wait_until(lock, next);
            continue;
        }
        const delayed_reply entry = std::move(delayedReplies.begin()->second);
        delayedReplies.erase(delayedReplies.begin());
        entry.responder->reply(entry.response);
    }
}

platform_server::platform_server(platform_server_options options)
    : m_data(std::make_unique<data>())
{
    m_data->options = std::move(options);
}

platform_server::~platform_server() { stop(); }

result<void> platform_server::start()
{
    net::http_server_options server;
    server.address = m_data->options.address;
    server.port = m_data->options.port;
    m_data->server = std::make_unique<net::http_server>(
        server, [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
            m_data->handle(request, responder);
        });
    if (auto listening = m_data->server->start(); !listening)
        return listening;
    m_data->timer = std::thread([this] { m_data->runTimer(); });
    return {};
}

void platform_server::stop()
{
    if (!m_data->timer.joinable())
        return;
    {
        const std::scoped_lock lock(m_data->mutex);
        m_data->stopping = true;
    }
    m_data->timerWakeup.notify_one();
    m_data->timer.join();
    m_data->server->stop();
    m_data->delayedReplies.clear();
}

std::uint16_t platform_server::port() const { return m_data->server->port(); }

void platform_server::setListing(platform::vm_listing listing)
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->listings.push_back({ steady_clock::now() + m_data->options.vmListLag, std::move(listing) });
}

void platform_server::setFaults(const platform_faults& faults)
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->options.faults = faults;
}

std::uint64_t platform_server::append(const std::string& stream, std::string body)
{
    const std::scoped_lock lock(m_data->mutex);
    return m_data->append(stream, std::move(body));
}

} // namespace coriandermount::standins
