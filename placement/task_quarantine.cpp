#include "placement/task_quarantine.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

#include <xxhash.h>

namespace coriandermount::placement {

namespace {

    struct failed_content {
        time_point since;
        std::vector<worker_index> workers;
        bool quarantined = false;
        time_point quarantinedSince {};
    };

    struct recent_success {
        content_digest content {};
        time_point at {};
        bool used = false;
    };

} // namespace

content_digest contentDigestOf(const task_spec& task)
{
    const std::uint64_t service = XXH3_64bits(task.service.value.data(), task.service.value.size());
    return content_digest { XXH3_64bits_withSeed(task.payload.data(), task.payload.size(), service) };
}

struct task_quarantine::data {
    task_quarantine_options options;
    std::unordered_map<content_digest, failed_content> failed;
    /// Contents of `failed`, oldest first.
    std::deque<content_digest> order;
    /// Recent successes, hashed by content digest modulo the table size; a collision overwrites the older entry.
    std::vector<recent_success> succeeded;
    std::size_t quarantined = 0;

    recent_success& slotOf(content_digest content) { return succeeded[static_cast<std::uint64_t>(content) % succeeded.size()]; }
    void drop(content_digest content);
    void evictOldest();
};

task_quarantine::task_quarantine(task_quarantine_options options)
    : m_data(std::make_unique<data>())
{
    m_data->options = options;
    m_data->succeeded.resize(options.capacity);
}

task_quarantine::~task_quarantine() = default;

void task_quarantine::data::drop(content_digest content)
{
    const auto found = failed.find(content);
    if (found == failed.end())
        return;
    if (found->second.quarantined)
        --quarantined;
    failed.erase(found);
}

void task_quarantine::data::evictOldest()
{
    while (order.size() >= options.capacity) {
        drop(order.front());
        order.pop_front();
    }
}

void task_quarantine::onSuccess(content_digest content, time_point now)
{
    m_data->slotOf(content) = { content, now, true };
    if (!m_data->failed.empty())
        m_data->drop(content);
}

std::vector<worker_index> task_quarantine::onFailure(content_digest content, worker_index worker, time_point now)
{
    const recent_success& success = m_data->slotOf(content);
    if (success.used && success.content == content && now - success.at < m_data->options.duration)
        return {};
    auto found = m_data->failed.find(content);
    if (found == m_data->failed.end()) {
        m_data->evictOldest();
        found = m_data->failed.emplace(content, failed_content { now, {}, false, {} }).first;
        m_data->order.push_back(content);
    }
    failed_content& record = found->second;
    const bool alreadyCounted = std::find(record.workers.begin(), record.workers.end(), worker) != record.workers.end();
    if (!alreadyCounted && record.workers.size() < m_data->options.workersToQuarantine)
        record.workers.push_back(worker);
    if (!record.quarantined && record.workers.size() >= m_data->options.workersToQuarantine) {
        record.quarantined = true;
        record.quarantinedSince = now;
        ++m_data->quarantined;
    }
    if (record.workers.size() < m_data->options.workersToBlameTask)
        return {};
    // The failures of the first workers are retracted once enough workers have failed; those of later workers at once.
    if (!alreadyCounted && record.workers.size() == m_data->options.workersToBlameTask)
        return record.workers;
    return { worker };
}

unsigned task_quarantine::checkQuarantine(content_digest content, time_point now) const
{
    const auto found = m_data->failed.find(content);
    if (found == m_data->failed.end() || !found->second.quarantined)
        return 0;
    if (now - found->second.quarantinedSince >= m_data->options.duration)
        return 0;
    return static_cast<unsigned>(found->second.workers.size());
}

bool task_quarantine::empty() const { return m_data->quarantined == 0; }

void task_quarantine::tick(time_point now)
{
    while (!m_data->order.empty()) {
        const auto found = m_data->failed.find(m_data->order.front());
        const auto since = [&found] { return found->second.quarantined ? found->second.quarantinedSince : found->second.since; };
        if (found != m_data->failed.end() && now - since() < m_data->options.duration)
            return;
        m_data->drop(m_data->order.front());
        m_data->order.pop_front();
    }
}

} // namespace coriandermount::placement
