#include "cells/evacuation.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace coriandermount::cells {

namespace {

    /// Share of the capacity that a worker can use at the beginning of its slow time: one of its usual few tasks.
    constexpr double coldShare = 0.25;

    /// Returns the progress from `begin` to `end` at `now`, between 0 and 1.
    double progress(time_point begin, time_point end, time_point now)
    {
        if (now >= end || end <= begin)
            return 1;
        const std::chrono::duration<double> passed = std::max(now, begin) - begin;
        return passed / std::chrono::duration<double>(end - begin);
    }

} // namespace

std::string_view nameOf(evacuation_phase value)
{
    constexpr std::array<std::string_view, 4> names { "serving", "finishing", "evacuated", "returning" };
    return names[static_cast<std::size_t>(value)];
}

cell_evacuation::cell_evacuation(std::chrono::milliseconds bound)
    : m_bound(bound)
{
}

bool cell_evacuation::update(bool evacuated, std::optional<time_point> lastRead, time_point now)
{
    if (evacuated == isActive())
        return false;
    if (evacuated) {
        m_since = lastRead.value_or(now - m_bound);
        m_endedAt.reset();
    } else {
        m_since.reset();
        m_endedAt = now;
    }
    return true;
}

evacuation_phase cell_evacuation::phase(time_point now) const
{
    if (m_since)
        return allowsStartedJobs(now) ? evacuation_phase::finishing : evacuation_phase::evacuated;
    return usableShare(now) < 1 ? evacuation_phase::returning : evacuation_phase::serving;
}

double cell_evacuation::usableShare(time_point now) const
{
    if (m_since)
        return 0;
    if (!m_endedAt)
        return 1;
    return returnShare + (1 - returnShare) * progress(*m_endedAt, *m_endedAt + returnRamp, now);
}

void worker_warmup::note(std::chrono::milliseconds coldLeft, time_point now)
{
    if (coldLeft.count() <= 0) {
        m_warmAt = std::min(m_warmAt, now);
        return;
    }
    // A registration that is read again tells the time that was left when it was written.
    if (m_coldFrom != time_point()) {
        m_warmAt = std::min(m_warmAt, now + coldLeft);
        return;
    }
    m_coldFrom = now;
    m_warmAt = now + coldLeft;
}

double worker_warmup::usableShare(time_point now) const
{
    return now >= m_warmAt ? 1 : coldShare + (1 - coldShare) * progress(m_coldFrom, m_warmAt, now);
}

std::optional<cell_number> chooseRelocationTarget(const std::vector<relocation_target>& targets, std::int64_t cpuMillis)
{
    const auto isWorse = [cpuMillis](const relocation_target& left, const relocation_target& right) {
        const auto rank = [cpuMillis](const relocation_target& target) {
            const bool hasRoom = target.idleCpu >= cpuMillis;
            return std::tuple(hasRoom, hasRoom ? target.idleCpu : 0, -target.wait, target.idleCpu);
        };
        return rank(left) < rank(right);
    };
    const auto best = std::max_element(targets.begin(), targets.end(), isWorse);
    return best == targets.end() ? std::nullopt : std::optional(best->cell);
}

} // namespace coriandermount::cells
