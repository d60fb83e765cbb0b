/// One VM's part in sharing worker slots and plan limits, as a deterministic state machine.
#pragma once

#include <memory>

#include "core/fleet_view.h"
#include "quota/capacity.h"
#include "quota/lease_times.h"
#include "quota/messages.h"

namespace coriandermount::quota {

/// Numbers for metrics.
struct share_counters {
    std::uint64_t terms = 0;
    std::uint64_t lapses = 0;
    std::uint64_t grantedUnits = 0;
    std::uint64_t returnedUnits = 0;
    std::uint64_t foreignSlots = 0;
};

/// Votes for the arbiter of the own domain, acts as arbiter when elected, and holds what this VM may use. The messages that
/// the calls return go to the VMs named in them; those to this VM itself are handled inside.
class share_controller {
public:
    share_controller(lease_times times, std::uint64_t incarnation, time_point startedAt);
    ~share_controller();

    share_controller(const share_controller&) = delete;
    share_controller& operator=(const share_controller&) = delete;

    /// A view without a VM id stands for a fleet of one VM, which holds everything.
    void setView(const fleet_view& view, time_point now);
    void setWorkers(const worker_table& workers, time_point now);
    void setConfiguration(const configuration::snapshot& configuration, time_point now);
    void setDemand(const demand& demand, time_point now);

    std::vector<message> handle(const message& input, time_point now);
    std::vector<message> tick(time_point now);

    /// Returns what this VM may use now; `number` is not set.
    share_snapshot snapshot(time_point now) const;

    /// Tells that the snapshot as it is now was handed to the engine under that number.
    void markPublished(std::uint64_t number);

    /// Returns the peer listener of a VM, empty when it is not known.
    std::string addressOf(const vm_id& vm) const;

    bool isArbiter() const;
    const vm_id& self() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::quota
