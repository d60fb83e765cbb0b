#include "event_log/batch_planner.h"

#include <algorithm>
#include <deque>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "event_log/event_codec.h"

namespace coriandermount::event_log {

using nlohmann::json;

namespace {

    /// Bytes of the request around a record.
    constexpr std::size_t overheadBytes = 200;
    /// Budget that detail leaves for faults to come.
    constexpr std::size_t faultReserveBytes = 16000;
    /// A batch waits until this much may be sent.
    constexpr std::size_t smallestBatch = 1024;
    constexpr std::size_t mostCountKeys = 4000;
    /// Length of one line of counts, for the choice of how many go into a batch.
    constexpr std::size_t countLineBytes = 120;

} // namespace

struct batch_planner::data {
    batch_options options;
    std::deque<event> faults;
    std::deque<event> detail;
    fault_counts counts;
    std::uint64_t droppedFaults = 0;
    std::uint64_t droppedDetail = 0;
    std::uint64_t unsaidFaults = 0;
    std::uint64_t unsaidDetail = 0;
    std::uint64_t nextNumber = 1;
    double budget = 0;
    std::optional<time_point> budgetAt;
    std::optional<time_point> lastSend;
    /// Batch whose append has not been confirmed.
    std::string current;
    bool inFlight = false;
    bool hurried = false;

    void keep(std::deque<event>& queue, std::vector<event> more, std::size_t most, std::uint64_t& dropped, std::uint64_t& unsaid)
    {
        for (auto& entry : more)
            queue.push_back(std::move(entry));
        while (queue.size() > most) {
            queue.pop_front();
            ++dropped;
            ++unsaid;
        }
    }

    void refill(time_point now)
    {
        if (!budgetAt)
            budget = static_cast<double>(options.maxBatchBytes);
        else
            budget += std::chrono::duration<double>(now - *budgetAt).count() * static_cast<double>(options.bytesPerSecond);
        budget = std::min(budget, static_cast<double>(options.burstBytes));
        budgetAt = now;
    }

    fault_counts takeCounts(std::size_t maxBytes)
    {
        fault_counts taken;
        while (!counts.empty() && (taken.size() + 1) * countLineBytes <= maxBytes)
            taken.insert(counts.extract(counts.begin()));
        return taken;
    }

    /// Moves the oldest events into the list as far as they fit.
    void takeEvents(std::deque<event>& queue, event_list_encoder& list, std::size_t maxBytes)
    {
        while (!queue.empty() && list.add(queue.front(), maxBytes))
            queue.pop_front();
    }

    std::string build(std::size_t maxBytes, wall_time wallNow)
    {
        const auto taken = takeCounts(maxBytes / 2);
        std::string text = fmt::format(
            R"({{"id":"{}.{}.{}","vm":{},"incarnation":{},"at":{},"dropped_faults":{},"dropped_detail":{},"counts":{})",
            options.vm.value, options.incarnation, nextNumber++, json(options.vm.value).dump(), options.incarnation,
            wallNow.time_since_epoch().count(), std::exchange(unsaidFaults, 0), std::exchange(unsaidDetail, 0),
            encodeCounts(taken));
        event_list_encoder list;
        const std::size_t left = maxBytes - std::min(maxBytes, text.size());
        takeEvents(faults, list, left);
        const std::size_t detailBytes
            = std::min<std::size_t>(left, static_cast<std::size_t>(std::max(0.0, budget - faultReserveBytes)));
        if (faults.empty())
            takeEvents(detail, list, detailBytes);
        return text + ",\"list\":" + list.text() + "}";
    }

    /// Budget for detail in the next batch.
    std::size_t detailBudget() const { return static_cast<std::size_t>(std::max(0.0, budget - faultReserveBytes)); }

    bool hasNews() const
    {
        return !faults.empty() || !counts.empty() || unsaidFaults > 0
            || (!detail.empty() && (hurried || detailBudget() >= smallestBatch));
    }

    bool isDue(time_point now) const { return hurried || !lastSend || now - *lastSend >= options.interval; }
};

batch_planner::batch_planner(batch_options options)
    : m_data(std::make_unique<data>())
{
    m_data->options = std::move(options);
}

batch_planner::~batch_planner() = default;

void batch_planner::enqueue(unread_events news, const fault_counts& counts)
{
    data& self = *m_data;
    self.keep(self.faults, std::move(news.faults), self.options.maxQueuedFaults, self.droppedFaults, self.unsaidFaults);
    self.keep(self.detail, std::move(news.detail), self.options.maxQueuedDetail, self.droppedDetail, self.unsaidDetail);
    self.droppedFaults += news.missedFaults;
    self.unsaidFaults += news.missedFaults;
    self.droppedDetail += news.missedDetail;
    self.unsaidDetail += news.missedDetail;
    addCounts(self.counts, counts, mostCountKeys);
}

std::optional<std::string> batch_planner::nextBatch(time_point now, wall_time wallNow)
{
    data& self = *m_data;
    self.refill(now);
    if (self.inFlight || !self.isDue(now))
        return std::nullopt;
    const std::size_t allowance = static_cast<std::size_t>(std::max(0.0, self.budget));
    const std::size_t smallest = self.current.empty() ? smallestBatch : self.current.size();
    if (allowance < smallest + overheadBytes && !self.hurried)
        return std::nullopt;
    if (self.current.empty()) {
        if (!self.hasNews())
            return std::nullopt;
        const std::size_t most = self.hurried ? self.options.maxBatchBytes : std::min(allowance, self.options.maxBatchBytes);
        self.current = self.build(most, wallNow);
    }
    self.budget -= static_cast<double>(self.current.size() + overheadBytes);
    self.inFlight = true;
    self.hurried = false;
    self.lastSend = now;
    return self.current;
}

void batch_planner::onAppended(bool known, time_point)
{
    m_data->inFlight = false;
    if (known)
        m_data->current.clear();
}

void batch_planner::flushNext() { m_data->hurried = true; }

std::uint64_t batch_planner::droppedFaults() const { return m_data->droppedFaults; }

std::uint64_t batch_planner::droppedDetail() const { return m_data->droppedDetail; }

result<batch> decodeBatch(const std::string& text)
{
    try {
        const json record = json::parse(text);
        batch found;
        found.id = record.at("id").get<std::string>();
        found.vm.value = record.at("vm").get<std::string>();
        found.incarnation = record.at("incarnation").get<std::uint64_t>();
        found.at = wall_time(std::chrono::milliseconds(record.at("at").get<std::int64_t>()));
        found.droppedFaults = record.at("dropped_faults").get<std::uint64_t>();
        found.droppedDetail = record.at("dropped_detail").get<std::uint64_t>();
        auto counts = decodeCounts(record.at("counts").dump());
        if (!counts)
            return tl::unexpected<error>(counts.error());
        found.counts = std::move(*counts);
        auto events = decodeEvents(record.at("list").dump(), found.vm);
        if (!events)
            return tl::unexpected<error>(events.error());
        found.events = std::move(*events);
        return found;
    } catch (const json::exception& problem) {
        return fail(error_kind::malformed_request, problem.what());
    }
}

} // namespace coriandermount::event_log
