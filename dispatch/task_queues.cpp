#include "dispatch/task_queues.h"

#include <algorithm>
#include <queue>
#include <set>
#include <vector>

namespace coriandermount::dispatch {

using admission::plan_index;

namespace {

    struct later_deadline {
        bool operator()(const queue_entry& a, const queue_entry& b) const
        {
            if (a.deadline != b.deadline)
                return a.deadline > b.deadline;
            return a.serial != b.serial ? a.serial > b.serial : a.part > b.part;
        }
    };

    /// Entries of one plan in one lane.
    struct plan_lane {
        queue_lane lane;
        std::priority_queue<queue_entry, std::vector<queue_entry>, later_deadline> entries;
        std::uint32_t tasks = 0;
        bool blocked = false;
        bool ready = false;
    };

    struct plan_queue {
        double weight = 1;
        /// Served work in slot seconds, divided by the weight.
        double normalizedService = 0;
        std::uint32_t tasks = 0;
        std::vector<plan_lane> lanes;
        bool anyBlocked = false;
    };

    struct ready_plan {
        double normalizedService = 0;
        plan_index plan {};

        friend auto operator<=>(const ready_plan&, const ready_plan&) = default;
    };

    std::size_t indexOf(plan_index plan) { return static_cast<std::size_t>(plan); }

    std::size_t laneIndex(queue_lane lane) { return static_cast<std::size_t>(lane.need) * 2 + (lane.isLong ? 1 : 0); }

    queue_lane laneAt(std::size_t number)
    {
        return { placement::need_index { static_cast<std::uint32_t>(number / 2) }, number % 2 == 1 };
    }

} // namespace

struct task_queues::data {
    std::vector<plan_queue> plans;
    /// Plans that have live tasks in a lane and are not blocked there, indexed by `laneIndex`.
    std::vector<std::set<ready_plan>> ready;
    /// Indexes of the lanes that have an entry in `ready`.
    std::set<std::size_t> readyLanes;
    std::size_t tasks = 0;
    /// Largest `normalizedService` at which a plan was served. A plan that becomes busy starts from this value, so that idle
    /// time earns no credit against busy plans.
    double normalizedService = 0;

    plan_queue& queueOf(plan_index plan);
    plan_lane& laneIn(plan_index plan, queue_lane lane);
    void updateReadiness(plan_index plan, plan_lane& planLane);
    void setReady(plan_index plan, plan_lane& planLane, bool ready);
};

task_queues::task_queues()
    : m_data(std::make_unique<data>())
{
}

task_queues::~task_queues() = default;

plan_queue& task_queues::data::queueOf(plan_index plan)
{
    if (indexOf(plan) >= plans.size())
        plans.resize(indexOf(plan) + 1);
    return plans[indexOf(plan)];
}

plan_lane& task_queues::data::laneIn(plan_index plan, queue_lane lane)
{
    auto& lanes = queueOf(plan).lanes;
    const auto found = std::find_if(lanes.begin(), lanes.end(), [lane](const auto& entry) { return entry.lane == lane; });
    if (found != lanes.end())
        return *found;
    if (laneIndex(lane) >= ready.size())
        ready.resize(laneIndex(lane) + 1);
    plan_lane& created = lanes.emplace_back();
    created.lane = lane;
    return created;
}

void task_queues::data::setReady(plan_index plan, plan_lane& planLane, bool isReady)
{
    if (planLane.ready == isReady)
        return;
    planLane.ready = isReady;
    const std::size_t number = laneIndex(planLane.lane);
    auto& plansReady = ready[number];
    const ready_plan key { plans[indexOf(plan)].normalizedService, plan };
    if (isReady) {
        plansReady.insert(key);
        readyLanes.insert(number);
        return;
    }
    plansReady.erase(key);
    if (plansReady.empty())
        readyLanes.erase(number);
}

void task_queues::data::updateReadiness(plan_index plan, plan_lane& planLane)
{
    setReady(plan, planLane, planLane.tasks > 0 && !planLane.blocked);
    // Without live tasks, all remaining entries belong to jobs that have ended.
    if (planLane.tasks == 0 && !planLane.entries.empty())
        planLane.entries = {};
}

void task_queues::push(plan_index plan, double weight, queue_lane lane, const queue_entry& entry, std::uint32_t tasks)
{
    plan_queue& queue = m_data->queueOf(plan);
    if (queue.tasks == 0 && queue.normalizedService < m_data->normalizedService)
        queue.normalizedService = m_data->normalizedService;
    queue.weight = weight;
    queue.tasks += tasks;
    m_data->tasks += tasks;
    plan_lane& planLane = m_data->laneIn(plan, lane);
    planLane.entries.push(entry);
    planLane.tasks += tasks;
    m_data->updateReadiness(plan, planLane);
}

void task_queues::addTasks(plan_index plan, queue_lane lane, std::uint32_t tasks)
{
    plan_lane& planLane = m_data->laneIn(plan, lane);
    planLane.tasks += tasks;
    m_data->queueOf(plan).tasks += tasks;
    m_data->tasks += tasks;
    m_data->updateReadiness(plan, planLane);
}

void task_queues::withdraw(plan_index plan, queue_lane lane, std::uint32_t tasks)
{
    plan_lane& planLane = m_data->laneIn(plan, lane);
    planLane.tasks -= tasks;
    m_data->queueOf(plan).tasks -= tasks;
    m_data->tasks -= tasks;
    m_data->updateReadiness(plan, planLane);
}

std::optional<queue_head> task_queues::next(const std::function<bool(queue_lane)>& eligible) const
{
    std::optional<queue_head> best;
    double bestService = 0;
    for (const std::size_t number : m_data->readyLanes) {
        const queue_lane lane = laneAt(number);
        if (!eligible(lane))
            continue;
        const ready_plan& first = *m_data->ready[number].begin();
        if (best && bestService < first.normalizedService)
            continue;
        const auto& entry = m_data->laneIn(first.plan, lane).entries.top();
        if (best && bestService == first.normalizedService && best->entry.deadline <= entry.deadline)
            continue;
        best = queue_head { first.plan, lane, entry };
        bestService = first.normalizedService;
    }
    return best;
}

void task_queues::pop(plan_index plan, queue_lane lane) { m_data->laneIn(plan, lane).entries.pop(); }

void task_queues::charge(plan_index plan, double slotSeconds)
{
    plan_queue& queue = m_data->queueOf(plan);
    const double before = queue.normalizedService;
    queue.normalizedService += slotSeconds / queue.weight;
    if (slotSeconds > 0)
        m_data->normalizedService = std::max(m_data->normalizedService, before);
    for (const auto& planLane : queue.lanes) {
        if (!planLane.ready)
            continue;
        auto& plansReady = m_data->ready[laneIndex(planLane.lane)];
        auto node = plansReady.extract({ before, plan });
        node.value().normalizedService = queue.normalizedService;
        plansReady.insert(std::move(node));
    }
}

void task_queues::block(plan_index plan, queue_lane lane)
{
    plan_lane& planLane = m_data->laneIn(plan, lane);
    planLane.blocked = true;
    m_data->queueOf(plan).anyBlocked = true;
    m_data->updateReadiness(plan, planLane);
}

void task_queues::unblock(plan_index plan)
{
    plan_queue& queue = m_data->queueOf(plan);
    if (!queue.anyBlocked)
        return;
    queue.anyBlocked = false;
    for (auto& planLane : queue.lanes) {
        planLane.blocked = false;
        m_data->updateReadiness(plan, planLane);
    }
}

void task_queues::unblockAll()
{
    for (std::uint32_t plan = 0; plan < m_data->plans.size(); ++plan)
        unblock(plan_index { plan });
}

std::size_t task_queues::queued() const { return m_data->tasks; }

std::uint32_t task_queues::queued(plan_index plan) const { return m_data->queueOf(plan).tasks; }

} // namespace coriandermount::dispatch
