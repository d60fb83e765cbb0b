/// Bounds retries to a share of first tries.
#pragma once

#include <map>

#include "core/types.h"

namespace coriandermount::admission {

struct retry_budget_options {
    /// Retries that each first try pays for.
    double retriesPerFirstAttempt = 0.1;
    /// Retries that may be saved up.
    double largest = 100;
    /// Retries that a customer or service has at first.
    double initial = 10;
};

/// Which budget forbade a retry.
enum class retry_decision { allowed, customer_exhausted, service_exhausted };

/// Counts first tries and retries per customer and per service.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options)
        : m_options(options)
    {
    }

    void recordFirstAttempt(const customer_id& customer, const service_id& service);

    /// Takes one retry out of both budgets, or none.
    retry_decision take(const customer_id& customer, const service_id& service);

private:
    template <class Id> double& balanceOf(std::map<Id, double>& balances, const Id& id);
    template <class Id> void deposit(std::map<Id, double>& balances, const Id& id);

    retry_budget_options m_options;
    std::map<customer_id, double> m_customers;
    std::map<service_id, double> m_services;
};

} // namespace coriandermount::admission
