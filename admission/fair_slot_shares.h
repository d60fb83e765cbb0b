/// Weighted fair division of slots among plans.
#pragma once

#include <cstdint>
#include <vector>

namespace coriandermount::admission {

/// Weight and demand of one plan.
struct slot_demand {
    /// Weight of the plan in the division of slots; above 0.
    double weight = 1;
    /// Number of slots that the plan can currently use.
    double slots = 0;
};

/// Max-min fair division by weight: slots that a plan can't use are divided among the others.
class fair_slot_shares {
public:
    /// Divides `capacity` slots among the plans; takes O(n log n) time for n plans.
    void divide(double capacity, std::vector<slot_demand> demands);

    /// Returns the number of slots that a plan with this weight and demand would get if its demand grew.
    double slotsFor(const slot_demand& plan) const;

private:
    double m_capacity = 0;
    double m_weights = 0;
    /// Slots per unit of weight for plans whose demand exceeds their share; 0 when every demand is met.
    double m_slotsPerWeight = 0;
    /// Slots that exceed the demand of all plans.
    double m_unused = 0;
};

} // namespace coriandermount::admission
