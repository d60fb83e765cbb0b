#include "cells/cell_owner_data.h"

#include <algorithm>
#include <map>

namespace coriandermount::cells {

namespace {

    /// Placement of the members of a gang. Reserves capacity on the workers for each added member, and releases all
    /// reservations when destroyed.
    class gang_placement {
    public:
        gang_placement() = default;
        ~gang_placement() { clear(); }

        gang_placement(const gang_placement&) = delete;
        gang_placement& operator=(const gang_placement&) = delete;

        void add(const task_key& key, worker_session& session, const jobs::resources& need)
        {
            worker_run reserved;
            reserved.need = need;
            session.addRun(key, reserved);
            m_members.emplace_back(key, &session);
        }

        /// Returns whether the members are on more than one rack.
        bool spansRacks() const
        {
            return std::any_of(m_members.begin(), m_members.end(),
                [this](const auto& member) { return member.second->rack() != m_members.front().second->rack(); });
        }

        void clear()
        {
            for (const auto& [key, session] : m_members)
                session->removeRun(key);
            m_members.clear();
        }

        /// Releases the reservations and returns the members with their workers.
        std::vector<std::pair<task_key, worker_session*>> release()
        {
            auto members = m_members;
            clear();
            return members;
        }

    private:
        std::vector<std::pair<task_key, worker_session*>> m_members;
    };

} // namespace

std::set<std::string> cell_owner::data::racks() const
{
    std::set<std::string> found;
    for (const auto& [id, session] : sessions)
        found.insert(session.rack());
    return found;
}

bool cell_owner::data::fitsIntoOneRack(const open_job& job, std::uint32_t step, time_point now) const
{
    const jobs::step& stepDefinition = job.accepted.work.steps[step];
    const time_point heardSince = silentFrom(now);
    // A worker that takes no starts for longer than the gang would lose on several racks is not waited for.
    const time_point awaitedUntil
        = now + std::chrono::duration_cast<std::chrono::milliseconds>(stepDefinition.estimate * (settings.remoteFactor - 1));
    std::map<std::string, std::uint64_t> roomByRack;
    for (const auto& [id, session] : sessions) {
        if (isUsable(session, job.accepted.service, stepDefinition, heardSince, awaitedUntil))
            roomByRack[session.rack()] += session.lastingRoomFor(stepDefinition);
    }
    return std::any_of(roomByRack.begin(), roomByRack.end(),
        [&stepDefinition](const auto& entry) { return entry.second >= stepDefinition.taskCount; });
}

bool cell_owner::data::scheduleGang(open_job& job, std::uint32_t step, time_point now)
{
    step_state& state = job.steps[step];
    const jobs::step& stepDefinition = job.accepted.work.steps[step];
    const std::string& id = job.accepted.work.id;
    const bool mayBeToBlame = !suspicion.empty() && !stepDefinition.longRunning;
    for (std::uint32_t index = 0; mayBeToBlame && index < state.tasks.size(); ++index) {
        const task_key key { id, 0, step, index };
        const bool toBlame = suspicion.isToBlame(key);
        if (toBlame)
            giveUpLater(key, now);
        if (toBlame || suspicion.awaitsVerdict(key) || now < suspicion.heldBackUntil(key))
            return false;
    }
    bool stillRunning = false;
    for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
        const task_key key { id, 0, step, index };
        stillRunning = stillRunning || runsOnAnyWorker(key);
        const auto session = sessions.find(state.tasks[index].runsOn);
        const worker_run* memberRun = session == sessions.end() ? nullptr : session->second.find(key);
        if (memberRun && state.tasks[index].phase == task_phase::placed && memberRun->state != run_state::stopping)
            stopRun(session->second, key, now);
    }
    if (stillRunning || state.waiting.size() < state.tasks.size())
        return false;

    // On several racks the members are slow, so that a gang waits for a rack that other tasks will leave.
    const bool oneRackOnly = stepDefinition.tightlyCoupled && fitsIntoOneRack(job, step, now);
    const std::set<std::string> rackChoices = oneRackOnly ? racks() : std::set { std::string() };
    gang_placement placement;
    for (const auto& rack : rackChoices) {
        placement.clear();
        bool placed = true;
        for (std::uint32_t index = 0; index < state.tasks.size() && placed; ++index) {
            worker_session* session = chooseWorker(job, step, state.tasks[index], rack, now);
            placed = session != nullptr;
            if (session)
                placement.add({ id, 0, step, index }, *session, stepDefinition.need);
        }
        if (!placed)
            continue;
        std::uint64_t attempt = 0;
        for (const auto& task : state.tasks)
            attempt = std::max(attempt, task.attempt);
        const double slowdown = stepDefinition.tightlyCoupled && placement.spansRacks() ? settings.remoteFactor : 1;
        state.waiting.clear();
        for (const auto& [key, session] : placement.release()) {
            job.task(key).attempt = attempt;
            start(job, key, *session, now, slowdown);
        }
        return true;
    }
    return false;
}

} // namespace coriandermount::cells
