/// Prediction of whether queued work starts in time.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "admission/backlog_profile.h"
#include "admission/fair_slot_shares.h"
#include "admission/plan_limits.h"
#include "dispatch/task_queues.h"

namespace coriandermount::dispatch {

/// Work of one plan that waits in one lane, or would wait there if its job were admitted.
struct planned_work {
    admission::plan_index plan {};
    double weight = 1;
    queue_lane lane;
    time_point latestStart;
    /// Expected work of all tasks together.
    admission::slot_seconds work = 0;
};

/// Predicted wait of work that will not start in time, with the number of slots that it was computed from.
struct predicted_delay {
    /// Number of slots with which all work would start in time, and number of slots that are available.
    double slotsNeeded = 0;
    double slots = 0;
    /// Predicted wait with the available slots.
    std::chrono::milliseconds wait { 0 };
};

/// Holds the queued short work of each plan, the queued short and long work of each lane, and the number of slots that each
/// plan is entitled to.
class backlog {
public:
    /// Adds queued work.
    void add(const planned_work& planned);
    /// Removes work that was added earlier and has started or been withdrawn.
    void remove(const planned_work& planned);

    /// Divides `slots` among the plans by weight and demand.
    void divide(double slots, std::vector<admission::slot_demand> demands);

    /// Returns the number of slots that the plan is entitled to after the last `divide`.
    double slotsOf(const admission::slot_demand& plan) const { return m_slotShares.slotsFor(plan); }

    /// Returns the queued short work of the plan.
    admission::slot_seconds queuedWork(admission::plan_index plan) const;

    /// Returns the time that `slots` slots need for the queued short work of the plan that is due by `latestStart`.
    std::chrono::duration<double> waitOf(admission::plan_index plan, time_point latestStart, double slots) const;

    /// Returns the predicted delay if `extra` would start too late with `slots` slots for all short work of its plan, and nothing
    /// if it would start in time.
    std::optional<predicted_delay> delayInPlan(const planned_work& extra, double slots, time_point now) const;

    /// Like `delayInPlan`, but for all work in the lane of `extra`. The plans that wait in the lane share its slots by weight.
    std::optional<predicted_delay> delayInLane(const planned_work& extra, double laneSlots, time_point now) const;

private:
    struct waiting_plan {
        double weight = 1;
        admission::backlog_profile profile;
    };
    struct lane_backlog {
        std::map<admission::plan_index, waiting_plan> plans;
        double weights = 0;
    };

    static std::size_t laneIndex(queue_lane lane);
    static std::optional<predicted_delay> delay(
        const admission::backlog_profile* profile, const planned_work& extra, double slots, time_point now);

    std::vector<admission::backlog_profile> m_plans;
    std::vector<lane_backlog> m_lanes;
    admission::fair_slot_shares m_slotShares;
};

} // namespace coriandermount::dispatch
