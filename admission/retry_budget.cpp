#include "admission/retry_budget.h"

#include <algorithm>

namespace coriandermount::admission {

namespace {

    constexpr std::size_t maxBalances = 65536;

} // namespace

template <class Id> double& retry_budget::balanceOf(std::map<Id, double>& balances, const Id& id)
{
    // A configuration bounds the number of customers. Without one, all balances are dropped at the limit to bound memory.
    if (balances.size() >= maxBalances && !balances.contains(id))
        balances.clear();
    return balances.try_emplace(id, m_options.initialRetries).first->second;
}

template <class Id> void retry_budget::deposit(std::map<Id, double>& balances, const Id& id)
{
    double& balance = balanceOf(balances, id);
    balance = std::min(balance + m_options.retriesPerFirstAttempt, m_options.maxRetries);
}

void retry_budget::recordFirstAttempt(const customer_id& customer, const service_id& service)
{
    deposit(m_customers, customer);
    deposit(m_services, service);
}

retry_decision retry_budget::take(const customer_id& customer, const service_id& service)
{
    double& customerBalance = balanceOf(m_customers, customer);
    if (customerBalance < 1)
        return retry_decision::customer_exhausted;
    double& serviceBalance = balanceOf(m_services, service);
    if (serviceBalance < 1)
        return retry_decision::service_exhausted;
    customerBalance -= 1;
    serviceBalance -= 1;
    return retry_decision::allowed;
}

} // namespace coriandermount::admission
