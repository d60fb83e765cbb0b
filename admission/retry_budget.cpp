#include "admission/retry_budget.h"

#include <algorithm>

namespace coriandermount::admission {

namespace {

    constexpr std::size_t largestNumberOfBalances = 65536;

} // namespace

template <class Id> double& retry_budget::balanceOf(std::map<Id, double>& balances, const Id& id)
{
    // Names of customers are bounded by the configuration; without one, old balances are dropped.
    if (balances.size() >= largestNumberOfBalances && !balances.contains(id))
        balances.clear();
    return balances.try_emplace(id, m_options.initial).first->second;
}

template <class Id> void retry_budget::deposit(std::map<Id, double>& balances, const Id& id)
{
    double& balance = balanceOf(balances, id);
    balance = std::min(balance + m_options.retriesPerFirstAttempt, m_options.largest);
}

void retry_budget::recordFirstAttempt(const customer_id& customer, const service_id& service)
{
    deposit(m_customers, customer);
    deposit(m_services, service);
}

retry_decision retry_budget::take(const customer_id& customer, const service_id& service)
{
    double& ofCustomer = balanceOf(m_customers, customer);
    if (ofCustomer < 1)
        return retry_decision::customer_exhausted;
    double& ofService = balanceOf(m_services, service);
    if (ofService < 1)
        return retry_decision::service_exhausted;
    ofCustomer -= 1;
    ofService -= 1;
    return retry_decision::allowed;
}

} // namespace coriandermount::admission
