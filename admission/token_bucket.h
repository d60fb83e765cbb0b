/// Rate limiter.
#pragma once

#include <algorithm>
#include <chrono>

#include "core/types.h"

namespace coriandermount::admission {

/// Token bucket that fills at a constant rate up to its capacity; a request takes all of its tokens or none.
class token_bucket {
public:
    /// Changes rate and capacity. The first call fills the bucket.
    void configure(double perSecond, double capacity, time_point now)
    {
        refill(now);
        if (m_capacity <= 0)
            m_tokens = capacity;
        m_perSecond = perSecond;
        m_capacity = capacity;
        m_tokens = std::min(m_tokens, m_capacity);
    }

    /// Takes `tokens` and returns true, or takes none and returns false when there are fewer.
    bool take(double tokens, time_point now)
    {
        refill(now);
        if (m_tokens < tokens)
            return false;
        m_tokens -= tokens;
        return true;
    }

    /// Returns the number of tokens at the time of the last `configure` or `take`.
    double tokens() const { return m_tokens; }

    /// Returns the time until `tokens` are available; one second when the bucket does not fill.
    std::chrono::milliseconds timeUntil(double tokens) const
    {
        constexpr double millisecondsPerSecond = 1000;
        if (m_perSecond <= 0)
            return std::chrono::seconds(1);
        const double missing = std::max(0.0, tokens - m_tokens);
        return std::chrono::milliseconds(static_cast<std::int64_t>(missing / m_perSecond * millisecondsPerSecond));
    }

private:
    void refill(time_point now)
    {
        const std::chrono::duration<double> passed = now - m_refilledAt;
        if (passed.count() > 0)
            m_tokens = std::min(m_capacity, m_tokens + passed.count() * m_perSecond);
        m_refilledAt = now;
    }

    double m_perSecond = 0;
    double m_capacity = 0;
    double m_tokens = 0;
    time_point m_refilledAt {};
};

} // namespace coriandermount::admission
