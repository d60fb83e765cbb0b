#include "net/body_budget.h"

#include <algorithm>

namespace coriandermount::net {

std::string_view nameOf(body_refusal refusal)
{
    constexpr std::array<std::string_view, bodyRefusalCount> names { "too_long", "memory", "source_memory", "too_slow" };
    return names[static_cast<std::size_t>(refusal)];
}

body_budget_limits bodyBudgetLimits(std::size_t memoryBytes, std::size_t maxBodyBytes)
{
    constexpr std::size_t memoryPerBudget = 4;
    body_budget_limits limits;
    limits.largePerSource = std::max(memoryBytes / memoryPerBudget / 4, maxBodyBytes);
    limits.large = 2 * limits.largePerSource;
    limits.total = 2 * limits.large;
    return limits;
}

body_budget::body_budget(body_budget_limits limits)
    : m_limits(limits)
{
}

std::optional<body_refusal> body_budget::claim::raise(std::size_t bytes)
{
    if (bytes <= m_bytes)
        return std::nullopt;
    const auto refusal = m_budget.resize(m_source, m_bytes, bytes);
    if (!refusal)
        m_bytes = bytes;
    return refusal;
}

void body_budget::claim::release()
{
    m_budget.resize(m_source, m_bytes, 0);
    m_bytes = 0;
}

void body_budget::countRefusal(body_refusal reason)
{
    m_refusals[static_cast<std::size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
}

std::array<std::uint64_t, bodyRefusalCount> body_budget::refusals() const
{
    std::array<std::uint64_t, bodyRefusalCount> counts {};
    for (std::size_t reason = 0; reason < bodyRefusalCount; ++reason)
        counts[reason] = m_refusals[reason].load(std::memory_order_relaxed);
    return counts;
}

std::optional<body_refusal> body_budget::resize(source client, std::size_t from, std::size_t to)
{
    if (to > from && !addToTotal(to - from))
        return body_refusal::memory;
    if (largePart(from) != largePart(to)) {
        if (const auto refusal = resizeLarge(client, largePart(from), largePart(to))) {
            m_total.fetch_sub(to - from, std::memory_order_relaxed);
            return refusal;
        }
    }
    if (to < from)
        m_total.fetch_sub(from - to, std::memory_order_relaxed);
    return std::nullopt;
}

std::optional<body_refusal> body_budget::resizeLarge(source client, std::size_t from, std::size_t to)
{
    const std::scoped_lock lock(m_mutex);
    const auto held = m_largeBySource.try_emplace(client, 0).first;
    const std::size_t large = m_large - from + to;
    const std::size_t ofSource = held->second - from + to;
    std::optional<body_refusal> refusal;
    if (to > from && large > m_limits.large)
        refusal = body_refusal::memory;
    else if (to > from && ofSource > m_limits.largePerSource)
        refusal = body_refusal::source_memory;
    if (!refusal) {
        m_large = large;
        held->second = ofSource;
    }
    // Without this, the map would keep an entry for each address that ever sent a large body.
    if (held->second == 0)
        m_largeBySource.erase(held);
    return refusal;
}

bool body_budget::addToTotal(std::size_t bytes)
{
    std::size_t current = m_total.load(std::memory_order_relaxed);
    do {
        if (bytes > m_limits.total - std::min(current, m_limits.total))
            return false;
    } while (!m_total.compare_exchange_weak(current, current + bytes, std::memory_order_relaxed));
    return true;
}

} // namespace coriandermount::net
