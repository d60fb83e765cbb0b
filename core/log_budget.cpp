#include "core/log_budget.h"

namespace coriandermount {

log_budget::verdict log_budget::count(std::string_view kind, time_point now)
{
    constexpr std::chrono::seconds windowLength { 1 };
    auto found = m_windows.find(kind);
    if (found == m_windows.end())
        found = m_windows.emplace(std::string(kind), window { now, 0, 0 }).first;
    window& current = found->second;
    verdict outcome;
    if (now - current.began >= windowLength) {
        outcome.leftOut = current.leftOut;
        current = { now, 0, 0 };
    }
    outcome.allowed = current.written < m_linesPerSecond;
    (outcome.allowed ? current.written : current.leftOut) += 1;
    return outcome;
}

} // namespace coriandermount
