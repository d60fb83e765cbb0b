/// Predicts whether queued work starts in time.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "admission/backlog_profile.h"
#include "admission/fair_slot_shares.h"
#include "admission/plan_limits.h"
#include "dispatch/task_queues.h"

namespace coriandermount::dispatch {

/// Work that waits, or would have to wait, for one plan in one lane.
struct planned_work {
    admission::plan_index plan {};
    double weight = 1;
    lane where;
    time_point latestStart;
    admission::slot_seconds work = 0;
};

/// Why work would not start in time.
struct predicted_delay {
    double slotsNeeded = 0;
    double slots = 0;
    std::chrono::milliseconds wait { 0 };
};

/// Keeps the queued short work of each plan, all queued work by lane, and the number of slots that each plan can count on.
class backlog {
public:
    void add(const planned_work& planned);
    void remove(const planned_work& planned);

    void divide(double slots, std::vector<admission::slot_demand> demands);

    /// Slots that the plan can count on.
    double slotsOf(const admission::slot_demand& plan) const { return m_rates.slotsFor(plan); }

    admission::slot_seconds queuedWork(admission::plan_index plan) const;

    /// Predicted wait of work that is due at `latestStart`.
    std::chrono::duration<double> waitOf(admission::plan_index plan, time_point latestStart, double slots) const;

    /// Says by how much `extra` would start too late with this number of slots for all short work of its plan, or nothing.
    std::optional<predicted_delay> delayInPlan(const planned_work& extra, double slots, time_point now) const;

    /// Like `delayInPlan` for one lane, whose slots are divided among the plans that wait in it.
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

    static std::size_t numberOf(lane where);
    static std::optional<predicted_delay> delay(
        const admission::backlog_profile* profile, const planned_work& extra, double slots, time_point now);

    std::vector<admission::backlog_profile> m_plans;
    std::vector<lane_backlog> m_lanes;
    admission::fair_slot_shares m_rates;
};

} // namespace coriandermount::dispatch
