/// Sharing of worker slots and plan limits on one VM, as a deterministic state machine.
#pragma once

#include <memory>

#include "core/fleet_view.h"
#include "quota/capacity.h"
#include "quota/lease_times.h"
#include "quota/messages.h"

namespace coriandermount::quota {

/// Counters for metrics.
struct share_counters {
    std::uint64_t terms = 0;
    std::uint64_t expiredLeases = 0;
    std::uint64_t grantedUnits = 0;
    std::uint64_t returnedUnits = 0;
    std::uint64_t foreignSlots = 0;
};

/// Votes for the arbiter of the own failure domain, acts as arbiter when elected, and holds the units that this VM may use. The
/// caller sends the returned messages to the VMs named in them; messages of this VM to itself are handled internally. Not
/// thread-safe.
class share_controller {
public:
    share_controller(lease_times times, std::uint64_t incarnation, time_point startedAt);
    ~share_controller();

    share_controller(const share_controller&) = delete;
    share_controller& operator=(const share_controller&) = delete;

    /// Sets the view of the fleet. In a view without a VM id, this VM is the only one and may use the whole capacity.
    void setView(const fleet_view& view, time_point now);
    void setWorkers(const worker_table& workers, time_point now);
    void setConfiguration(const configuration::snapshot& configuration, time_point now);
    void setDemand(const demand& demand, time_point now);

    /// Applies a message of another VM and returns the messages to send.
    std::vector<message> handle(const message& input, time_point now);

    /// Advances the timers and returns the messages to send.
    std::vector<message> tick(time_point now);

    /// Returns the shares that this VM may use; `number` is not set.
    share_snapshot snapshot(time_point now) const;

    /// Records that the present snapshot has been passed to the engine under that number.
    void markPublished(std::uint64_t number);

    /// Returns the peer address of a VM, or an empty string if it is not known.
    std::string addressOf(const vm_id& vm) const;

    bool isArbiter() const;
    const vm_id& self() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::quota
