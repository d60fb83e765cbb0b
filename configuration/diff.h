/// Differences between two configurations.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration.h"

namespace coriandermount::configuration {

/// What turns one configuration into another.
struct change_set {
    /// New plan of each changed customer; nothing for a customer that is removed.
    std::map<customer_id, std::optional<plan_id>> customers;
    /// New limits of each changed plan; nothing for a plan that is removed.
    std::map<plan_id, std::optional<plan_limits>> plans;

    bool empty() const { return customers.empty() && plans.empty(); }

    friend bool operator==(const change_set&, const change_set&) = default;
};

change_set computeChanges(const snapshot& before, const snapshot& after);

/// Makes the changes in the lists of `target`.
void applyChanges(const change_set& changes, snapshot& target);

/// Tells the changes in sentences, those that take something away from customers first.
std::vector<std::string> describeChanges(const snapshot& before, const snapshot& after);

} // namespace coriandermount::configuration
