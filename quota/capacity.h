/// What the VMs of one failure domain may lease out altogether.
#pragma once

#include <vector>

#include "configuration/configuration.h"
#include "core/worker.h"
#include "quota/resource.h"
#include "quota/shares.h"

namespace coriandermount::quota {

/// Returns the part of `limit` that `domain` leases out; the parts of all domains add up to the limit.
std::uint32_t domainShareOf(
    std::uint32_t limit, const plan_id& plan, const failure_domain_id& domain, const std::vector<failure_domain_id>& domains);

/// Returns slots of live workers and the domain's parts of all limited plans. `domains` names every configured domain.
unit_map capacityOf(const worker_table& workers, const configuration::snapshot& configuration, const failure_domain_id& domain,
    const std::vector<failure_domain_id>& domains);

/// Returns what the engine uses and could use, for the resources that are limited.
unit_map usedUnits(const demand& demand);
need_map needsOf(const demand& demand, const configuration::snapshot& configuration);

/// Adds `units` to the snapshot.
void addToSnapshot(const unit_map& units, share_snapshot& snapshot);

} // namespace coriandermount::quota
