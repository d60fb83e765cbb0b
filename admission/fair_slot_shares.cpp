#include "admission/fair_slot_shares.h"

#include <algorithm>

namespace coriandermount::admission {

void fair_slot_shares::divide(double capacity, std::vector<slot_demand> demands)
{
    const auto relative = [](const slot_demand& plan) { return plan.slots / plan.weight; };
    std::sort(demands.begin(), demands.end(),
        [&relative](const slot_demand& a, const slot_demand& b) { return relative(a) < relative(b); });
    double weights = 0;
    for (const auto& plan : demands)
        weights += plan.weight;
    m_capacity = capacity;
    m_weights = weights;
    double left = capacity;
    m_unused = 0;
    for (const auto& plan : demands) {
        m_slotsPerWeight = left / weights;
        if (relative(plan) >= m_slotsPerWeight)
            return;
        left -= plan.slots;
        weights -= plan.weight;
    }
    m_unused = left;
    m_slotsPerWeight = 0;
}

double fair_slot_shares::slotsFor(const slot_demand& plan) const
{
    if (m_slotsPerWeight > 0)
        return m_slotsPerWeight * plan.weight;
    const double ownWeight = plan.slots > 0 ? 0 : plan.weight;
    const double guaranteed = m_capacity * plan.weight / (m_weights + ownWeight);
    return std::max(plan.slots + m_unused, guaranteed);
}

} // namespace coriandermount::admission
