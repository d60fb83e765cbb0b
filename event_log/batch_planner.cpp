#include "event_log/batch_planner.h"

#include <algorithm>
#include <deque>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "event_log/event_codec.h"

namespace coriandermount::event_log {

using nlohmann::json;

namespace {

    /// Estimated size of the request that carries a record.
    constexpr std::size_t requestOverheadBytes = 200;
    /// Budget that detail events leave unused, for faults that may follow.
    constexpr std::size_t faultReserveBytes = 16000;
    /// No batch is built while the budget is smaller.
    constexpr std::size_t minBatchBytes = 1024;
    constexpr std::size_t maxCountKeys = 4000;
    /// Estimated length of one encoded count, which decides how many counts fit into a batch.
    constexpr std::size_t countLineBytes = 120;

} // namespace

struct batch_planner::data {
    batch_options options;
    std::deque<event> faults;
    std::deque<event> detail;
    fault_counts counts;
    std::uint64_t droppedFaults = 0;
    std::uint64_t droppedDetail = 0;
    std::uint64_t unreportedFaults = 0;
    std::uint64_t unreportedDetail = 0;
    std::uint64_t nextBatchNumber = 1;
    double budget = 0;
    std::optional<time_point> budgetAt;
    std::optional<time_point> lastSend;
    /// Encoded batch whose append has not been confirmed; empty if there is none.
    std::string unconfirmed;
    bool inFlight = false;
    bool flushRequested = false;

    void append(
        std::deque<event>& queue, std::vector<event> added, std::size_t limit, std::uint64_t& dropped, std::uint64_t& unreported)
    {
        for (auto& entry : added)
            queue.push_back(std::move(entry));
        while (queue.size() > limit) {
            queue.pop_front();
            ++dropped;
            ++unreported;
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

    /// Moves the oldest events of a queue into the list as far as they fit.
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
            options.vm.value, options.incarnation, nextBatchNumber++, json(options.vm.value).dump(), options.incarnation,
            wallNow.time_since_epoch().count(), std::exchange(unreportedFaults, 0), std::exchange(unreportedDetail, 0),
            encodeCounts(taken));
        event_list_encoder list;
        const std::size_t bytesLeft = maxBytes - std::min(maxBytes, text.size());
        takeEvents(faults, list, bytesLeft);
        const std::size_t detailBytes
            = std::min<std::size_t>(bytesLeft, static_cast<std::size_t>(std::max(0.0, budget - faultReserveBytes)));
        if (faults.empty())
            takeEvents(detail, list, detailBytes);
        return text + ",\"list\":" + list.text() + "}";
    }

    /// Budget for detail events in the next batch.
    std::size_t detailBudget() const { return static_cast<std::size_t>(std::max(0.0, budget - faultReserveBytes)); }

    bool hasPendingData() const
    {
        return !faults.empty() || !counts.empty() || unreportedFaults > 0
            || (!detail.empty() && (flushRequested || detailBudget() >= minBatchBytes));
    }

    bool isDue(time_point now) const { return flushRequested || !lastSend || now - *lastSend >= options.interval; }
};

batch_planner::batch_planner(batch_options options)
    : m_data(std::make_unique<data>())
{
    m_data->options = std::move(options);
}

batch_planner::~batch_planner() = default;

void batch_planner::enqueue(unread_events unread, const fault_counts& counts)
{
    data& self = *m_data;
    self.append(self.faults, std::move(unread.faults), self.options.maxQueuedFaults, self.droppedFaults, self.unreportedFaults);
    self.append(self.detail, std::move(unread.detail), self.options.maxQueuedDetail, self.droppedDetail, self.unreportedDetail);
    self.droppedFaults += unread.missedFaults;
    self.unreportedFaults += unread.missedFaults;
    self.droppedDetail += unread.missedDetail;
    self.unreportedDetail += unread.missedDetail;
    addCounts(self.counts, counts, maxCountKeys);
}

std::optional<std::string> batch_planner::nextBatch(time_point now, wall_time wallNow)
{
    data& self = *m_data;
    self.refill(now);
    if (self.inFlight || !self.isDue(now))
        return std::nullopt;
    const std::size_t available = static_cast<std::size_t>(std::max(0.0, self.budget));
    const std::size_t required = self.unconfirmed.empty() ? minBatchBytes : self.unconfirmed.size();
    if (available < required + requestOverheadBytes && !self.flushRequested)
        return std::nullopt;
    if (self.unconfirmed.empty()) {
        if (!self.hasPendingData())
            return std::nullopt;
        const std::size_t limit
            = self.flushRequested ? self.options.maxBatchBytes : std::min(available, self.options.maxBatchBytes);
        self.unconfirmed = self.build(limit, wallNow);
    }
    self.budget -= static_cast<double>(self.unconfirmed.size() + requestOverheadBytes);
    self.inFlight = true;
    self.flushRequested = false;
    self.lastSend = now;
    return self.unconfirmed;
}

void batch_planner::onAppended(bool confirmed, time_point)
{
    m_data->inFlight = false;
    if (confirmed)
        m_data->unconfirmed.clear();
}

void batch_planner::flushNext() { m_data->flushRequested = true; }

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
