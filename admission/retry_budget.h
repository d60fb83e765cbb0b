/// Limits retries to a share of first attempts.
#pragma once

#include <map>

#include "core/types.h"

namespace coriandermount::admission {

struct retry_budget_options {
    /// Number of retries, usually below 1, that each first attempt adds to the budget.
    double retriesPerFirstAttempt = 0.1;
    /// Upper bound of a budget, in retries.
    double maxRetries = 100;
    /// Budget of a new customer or service, in retries.
    double initialRetries = 10;
};

/// Result of a request for a retry: allowed, or the budget that is exhausted.
enum class retry_decision { allowed, customer_exhausted, service_exhausted };

/// Keeps a budget of retries per customer and per service; a retry needs both.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options)
        : m_options(options)
    {
    }

    /// Adds `retriesPerFirstAttempt` to the budgets of the customer and the service.
    void recordFirstAttempt(const customer_id& customer, const service_id& service);

    /// Takes one retry from both budgets if both allow it, and else from neither.
    retry_decision take(const customer_id& customer, const service_id& service);

private:
    template <class Id> double& balanceOf(std::map<Id, double>& balances, const Id& id);
    template <class Id> void deposit(std::map<Id, double>& balances, const Id& id);

    retry_budget_options m_options;
    std::map<customer_id, double> m_customers;
    std::map<service_id, double> m_services;
};

} // namespace coriandermount::admission
