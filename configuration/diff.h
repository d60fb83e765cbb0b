/// Changes between two configurations, as data and as text.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration.h"

namespace coriandermount::configuration {

/// Changes that turn one configuration into another.
struct change_set {
    /// New plan of each changed customer; nothing for a customer that is removed.
    std::map<customer_id, std::optional<plan_id>> customers;
    /// New limits of each changed plan; nothing for a plan that is removed.
    std::map<plan_id, std::optional<plan_limits>> plans;

    bool empty() const { return customers.empty() && plans.empty(); }

    friend bool operator==(const change_set&, const change_set&) = default;
};

/// Returns the changes that turn the lists of `before` into those of `after`.
change_set computeChanges(const snapshot& before, const snapshot& after);

/// Applies the changes to the lists of `target`.
void applyChanges(const change_set& changes, snapshot& target);

/// Returns a description of each change. Customers' losses of access come first, then other changes of customers, then changes of
/// plans.
std::vector<std::string> describeChanges(const snapshot& before, const snapshot& after);

} // namespace coriandermount::configuration
