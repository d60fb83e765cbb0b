#include "configuration/configuration.h"

#include <fmt/format.h>

namespace coriandermount::configuration {

result<plan_id> snapshot::planOf(const customer_id& customer) const
{
    if (version == 0)
        return fail(error_kind::configuration_missing);
    const auto found = customers.find(customer);
    if (found == customers.end())
        return fail(error_kind::unknown_customer,
            fmt::format("customer \"{}\" is not listed in configuration {}", customer.value, version));
    return found->second;
}

bool isNewer(const snapshot& candidate, const snapshot& current)
{
    if (candidate.version != current.version)
        return candidate.version > current.version;
    return candidate.recordId > current.recordId;
}

} // namespace coriandermount::configuration
