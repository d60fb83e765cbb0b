/// Units that the VMs of one failure domain can lease, and conversions between units and the engine's types.
#pragma once

#include <vector>

#include "configuration/configuration.h"
#include "core/worker.h"
#include "quota/resource.h"
#include "quota/shares.h"

namespace coriandermount::quota {

/// Returns the share of a plan's `limit` that `domain` leases out. The shares of all `domains` add up to the limit.
std::uint32_t domainShareOf(
    std::uint32_t limit, const plan_id& plan, const failure_domain_id& domain, const std::vector<failure_domain_id>& domains);

/// Returns the slots of the domain's live workers and the domain's shares of all limited plans. `domains` lists every configured
/// failure domain.
unit_map capacityOf(const worker_table& workers, const configuration::snapshot& configuration, const failure_domain_id& domain,
    const std::vector<failure_domain_id>& domains);

/// Returns the units that the engine uses.
unit_map usedUnits(const demand& demand);

/// Returns the units that the engine uses and could use, for slots and for the limited resources of plans.
need_map needsOf(const demand& demand, const configuration::snapshot& configuration);

/// Adds `units` to the shares in `snapshot`.
void addToSnapshot(const unit_map& units, share_snapshot& snapshot);

} // namespace coriandermount::quota
