#include "cells/cell_owner_data.h"

#include <algorithm>

namespace coriandermount::cells {

namespace {

    /// Where the members of a gang are to run. Takes the room while it is being filled, and gives it back unless it is kept.
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

        void clear()
        {
            for (const auto& [key, session] : m_members)
                session->removeRun(key);
            m_members.clear();
        }

        /// Gives the room back and returns what was chosen.
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

bool cell_owner::data::scheduleGang(open_job& job, std::uint32_t step, time_point now)
{
    step_state& state = job.steps[step];
    const jobs::step& wanted = job.accepted.work.steps[step];
    const std::string& id = job.accepted.work.id;
    bool runs = false;
    for (std::uint32_t index = 0; index < state.tasks.size(); ++index) {
        const task_key key { id, 0, step, index };
        runs = runs || runsSomewhere(key);
        const auto session = sessions.find(state.tasks[index].runsOn);
        const worker_run* left = session == sessions.end() ? nullptr : session->second.find(key);
        if (left && state.tasks[index].phase == task_phase::placed && left->state != run_state::stopping)
            stopRun(session->second, key, now);
    }
    if (runs || state.waiting.size() < state.tasks.size())
        return false;

    std::set<std::string> choices { std::string() };
    if (wanted.tightlyCoupled)
        choices = racks();
    gang_placement placement;
    for (const auto& rack : choices) {
        placement.clear();
        bool placed = true;
        for (std::uint32_t index = 0; index < state.tasks.size() && placed; ++index) {
            worker_session* session = chooseWorker(job, step, state.tasks[index], rack, now);
            placed = session != nullptr;
            if (session)
                placement.add({ id, 0, step, index }, *session, wanted.need);
        }
        if (!placed)
            continue;
        std::uint64_t attempt = 0;
        for (const auto& task : state.tasks)
            attempt = std::max(attempt, task.attempt);
        state.waiting.clear();
        for (const auto& [key, session] : placement.release()) {
            job.task(key).attempt = attempt;
            start(job, key, *session, now);
        }
        return true;
    }
    return false;
}

} // namespace coriandermount::cells
