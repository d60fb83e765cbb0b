// Checks with random, overlapping losses of workers that jobs whose tasks do no harm are completed, and that tasks that crash
// their workers are started only a few times.
#include <algorithm>
#include <array>
#include <ostream>

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include "tests/fakes/cell_fleet.h"
#include "tests/fakes/check_schedules.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(random_losses_of_workers)

namespace {

enum class disruption_kind {
    share_crashes,
    rack_crashes,
    crash,
    cut,
    cut_before_crash,
    unlisted,
    owner_ends,
    store_fault,
    count
};

/// Something that takes workers, or their owner, away for a while.
struct disruption {
    unsigned kind = 0;
    /// Since the start of the schedule.
    std::chrono::milliseconds at { 0 };
    /// Determines which workers are affected, and how many.
    unsigned number = 0;
    /// Whether it affects a worker that executes a task, if there is one.
    bool aimed = false;
    std::chrono::milliseconds length { 0 };
};

struct submission {
    std::chrono::milliseconds at { 0 };
    unsigned tasks = 1;
    std::chrono::milliseconds duration { 0 };
};

/// What stays the same for a schedule.
struct surroundings {
    unsigned domains = 1;
    unsigned workers = 12;
    unsigned deadlyJobs = 0;
    std::chrono::milliseconds deadlyDelay { 20 };
    std::chrono::milliseconds downtime { 2000 };
    /// Largest distance of crashes with a common cause.
    std::chrono::milliseconds spread { 0 };
    bool refuses = false;
    bool renames = false;
};

std::ostream& operator<<(std::ostream& out, const disruption& shown)
{
    return out << fmt::format(
               "{{ {}, {}ms, {}, {}, {}ms }}", shown.kind, shown.at.count(), shown.number, shown.aimed, shown.length.count());
}

std::ostream& operator<<(std::ostream& out, const submission& shown)
{
    return out << fmt::format("{{ {}ms, {}, {}ms }}", shown.at.count(), shown.tasks, shown.duration.count());
}

std::ostream& operator<<(std::ostream& out, const surroundings& shown)
{
    return out << fmt::format("{{ {}, {}, {}, {}ms, {}ms, {}ms, {}, {} }}", shown.domains, shown.workers, shown.deadlyJobs,
               shown.deadlyDelay.count(), shown.downtime.count(), shown.spread.count(), shown.refuses, shown.renames);
}

rc::Gen<std::chrono::milliseconds> timeBetween(int least, int most)
{
    return rc::gen::map(rc::gen::inRange(least, most + 1), [](int count) { return std::chrono::milliseconds(count); });
}

rc::Gen<disruption> anyDisruption()
{
    return rc::gen::build<disruption>(
        rc::gen::set(&disruption::kind, rc::gen::inRange(0U, static_cast<unsigned>(disruption_kind::count))),
        rc::gen::set(&disruption::at, timeBetween(0, 30000)), rc::gen::set(&disruption::number, rc::gen::inRange(0U, 1000U)),
        rc::gen::set(&disruption::aimed, rc::gen::map(rc::gen::inRange(0, 4), [](int choice) { return choice > 0; })),
        rc::gen::set(&disruption::length, timeBetween(500, 14000)));
}

rc::Gen<submission> anySubmission()
{
    return rc::gen::build<submission>(rc::gen::set(&submission::at, timeBetween(0, 24000)),
        rc::gen::set(&submission::tasks, rc::gen::element(1U, 1U, 1U, 3U, 6U)),
        rc::gen::set(&submission::duration, timeBetween(300, 4000)));
}

rc::Gen<surroundings> anySurroundings()
{
    return rc::gen::build<surroundings>(rc::gen::set(&surroundings::domains, rc::gen::inRange(1U, 3U)),
        rc::gen::set(&surroundings::workers, rc::gen::inRange(12U, 25U)),
        rc::gen::set(&surroundings::deadlyJobs, rc::gen::element(0U, 0U, 1U, 2U)),
        rc::gen::set(&surroundings::deadlyDelay, rc::gen::element(0ms, 20ms, 250ms)),
        rc::gen::set(&surroundings::downtime, rc::gen::element(300ms, 1000ms, 2000ms, 5000ms, 12000ms)),
        rc::gen::set(&surroundings::spread, rc::gen::element(0ms, 30ms, 100ms)),
        rc::gen::set(&surroundings::refuses, rc::gen::arbitrary<bool>()),
        rc::gen::set(&surroundings::renames, rc::gen::map(rc::gen::inRange(0, 4), [](int choice) { return choice == 0; })));
}

/// Fleet on which a schedule is played.
class lossy_fleet : public cell_fleet {
public:
    explicit lossy_fleet(const surroundings& chosen)
        : cell_fleet(chosen.domains, 3, chosen.workers)
        , m_chosen(chosen)
    {
        workers.restartAfterCrash(chosen.downtime);
        if (chosen.refuses)
            workers.refuseConnectionsAfterCrash();
        if (chosen.renames) {
            workers.unregisterAfterCrash(chosen.downtime / 2);
            workers.renameAfterCrash();
        }
        runFor(2s);
    }

    void submit(const submission& job, unsigned number)
    {
        loop.after(job.at, [this, job, number] {
            submitTo(number % m_chosen.domains, fmt::format("sound{}", number), job.tasks, job.duration);
        });
    }

    void submitDeadly(unsigned number)
    {
        const std::string id = fmt::format("deadly{}", number);
        workers.makeDeadly({ id, 0, 0, 0 }, m_chosen.deadlyDelay);
        loop.after(4s + number * 7s, [this, number, id] { submitTo(number % m_chosen.domains, id, 1, 600ms); });
    }

    void schedule(const disruption& event)
    {
        loop.after(event.at, [this, event] { apply(event); });
    }

    /// Ends all disruptions.
    void heal()
    {
        listAllWorkers();
        for (unsigned domain = 0; domain < m_chosen.domains; ++domain) {
            for (const auto& worker : workers.registrations(std::to_string(domain)))
                workers.faults(worker.id.value).partitioned = false;
            for (unsigned number = 0; number < 3; ++number) {
                setStoreFault(vmName(domain, number), store_fault::none);
                start(vmName(domain, number));
            }
        }
    }

    /// Runs the fleet and collects how jobs end.
    void observeFor(std::chrono::milliseconds duration)
    {
        for (auto passed = 0ms; passed < duration; passed += 100ms) {
            runFor(100ms);
            for (const auto& id : stored) {
                if (const auto current = state(m_domainOf.at(id), id); current && jobs::isFinal(*current))
                    m_ends.try_emplace(id, *current);
            }
        }
    }

    std::optional<jobs::job_state> endOf(const std::string& id) const
    {
        const auto found = m_ends.find(id);
        return found == m_ends.end() ? std::nullopt : std::optional(found->second);
    }

    /// Returns whether two workers have crashed under one task of a job without a crash of another one of their domain at
    /// that time.
    bool mayFail(const std::string& id) const
    {
        std::map<cells::task_key, int> own;
        for (const auto& run : workers.runs()) {
            if (run.task.jobId == id && run.crashed && isAlone(run))
                ++own[run.task];
        }
        return std::any_of(own.begin(), own.end(), [](const auto& entry) { return entry.second >= 2; });
    }

    /// Returns the accepted jobs that do no harm.
    std::vector<std::string> soundJobs() const
    {
        auto jobs = stored;
        std::erase_if(jobs, [](const auto& id) { return !id.starts_with("sound"); });
        return jobs;
    }

    bool haveSoundJobsEnded() const
    {
        const auto jobs = soundJobs();
        return std::all_of(jobs.begin(), jobs.end(), [this](const auto& id) { return endOf(id).has_value(); });
    }

private:
    static std::string domainOf(const worker_id& worker) { return worker.value.substr(0, worker.value.find('-')); }

    bool isAlone(const recorded_run& run) const
    {
        return std::none_of(workers.crashes().begin(), workers.crashes().end(), [&run](const recorded_crash& crash) {
            return crash.worker != run.worker && domainOf(crash.worker) == domainOf(run.worker)
                && std::chrono::abs(crash.at - *run.end) <= 500ms;
        });
    }

    void submitTo(unsigned domain, const std::string& id, unsigned tasks, std::chrono::milliseconds duration)
    {
        m_domainOf[id] = domain;
        for (unsigned number = 0; number < 3; ++number) {
            if (isAlive(vmName(domain, number))) {
                store(vmName(domain, number), id, tasks, duration);
                return;
            }
        }
    }

    /// Returns the workers of a domain, beginning with the one at which the disruption is aimed.
    std::vector<std::string> targetsOf(const disruption& event, unsigned domain) const
    {
        std::vector<std::string> names;
        for (const auto& worker : workers.registrations(std::to_string(domain)))
            names.push_back(worker.id.value);
        std::vector<std::string> busy;
        for (const auto& run : workers.runs()) {
            if (!run.end && std::find(names.begin(), names.end(), run.worker.value) != names.end())
                busy.push_back(run.worker.value);
        }
        const auto& choice = event.aimed && !busy.empty() ? busy : names;
        std::rotate(names.begin(), std::find(names.begin(), names.end(), choice[event.number % choice.size()]), names.end());
        return names;
    }

    void crashTogether(const std::vector<std::string>& names, std::size_t count)
    {
        for (std::size_t index = 0; index < std::min(count, names.size()); ++index)
            loop.after(m_chosen.spread * index / count, [this, name = names[index]] { workers.crash(name); });
    }

    void cut(const std::string& worker, std::chrono::milliseconds length)
    {
        timeline.note(worker + " is cut off");
        workers.faults(worker).partitioned = true;
        loop.after(length, [this, worker] {
            timeline.note(worker + " is in reach");
            workers.faults(worker).partitioned = false;
        });
    }

    void apply(const disruption& event)
    {
        const unsigned domain = event.number % m_chosen.domains;
        const auto names = targetsOf(event, domain);
        const std::string vm = owner(domain);
        switch (static_cast<disruption_kind>(event.kind)) {
        case disruption_kind::share_crashes:
            return crashTogether(names, std::max<std::size_t>(names.size() * 15 / 100, 2));
        case disruption_kind::rack_crashes:
            return crashTogether(names, 3 + event.number % 4);
        case disruption_kind::crash:
            return workers.crash(names[0]);
        case disruption_kind::cut_before_crash:
            loop.after(event.length * (event.number % 10) / 10, [this, worker = names[0]] { workers.crash(worker); });
            [[fallthrough]];
        case disruption_kind::cut:
            return cut(names[0], event.length);
        case disruption_kind::unlisted:
            return unlistWorker(names[0]);
        case disruption_kind::owner_ends:
            kill(vm);
            return loop.after(event.length, [this, vm] { vm.empty() ? void() : start(vm); });
        default:
            if (vm.empty())
                return;
            setStoreFault(vm, static_cast<store_fault>(1 + event.number % 3));
            return loop.after(event.length / 2, [this, vm] { setStoreFault(vm, store_fault::none); });
        }
    }

    surroundings m_chosen;
    std::map<std::string, unsigned> m_domainOf;
    std::map<std::string, jobs::job_state> m_ends;
};

/// Number of schedules of one property.
constexpr int schedules = 15;
/// Number of starts of a task that crashes its workers at which the platform breaks off.
constexpr std::size_t maxStartsOfPlatform = 6;
/// Time after a schedule within which the last worker is back, and within which the longest pauses before starts are over.
constexpr auto healed = 45s;
constexpr auto pausesAreOver = 900s;

/// Plays a random schedule until all disruptions are over, and returns the fleet.
std::unique_ptr<lossy_fleet> playSchedule(unsigned deadlyAtLeast)
{
    auto chosen = *anySurroundings();
    chosen.deadlyJobs = std::max(chosen.deadlyJobs, deadlyAtLeast);
    const auto jobs = *rc::gen::container<std::vector<submission>>(*rc::gen::inRange<std::size_t>(3, 8), anySubmission());
    const auto events = *rc::gen::container<std::vector<disruption>>(*rc::gen::inRange<std::size_t>(4, 11), anyDisruption());
    auto fleet = std::make_unique<lossy_fleet>(chosen);
    for (unsigned number = 0; number < jobs.size(); ++number)
        fleet->submit(jobs[number], number);
    for (unsigned number = 0; number < chosen.deadlyJobs; ++number)
        fleet->submitDeadly(number);
    for (const auto& event : events)
        fleet->schedule(event);
    fleet->observeFor(31s);
    fleet->heal();
    fleet->observeFor(healed);
    for (const auto& violation : fleet->workers.violations())
        RC_FAIL(violation + '\n' + fleet->timeline.textOf(violation.substr(0, violation.find('.'))));
    return fleet;
}

} // namespace

// Guards against sound jobs that have failed after their workers were lost for other causes (issue 67).
BOOST_AUTO_TEST_CASE(sound_stored_jobs_are_completed_unless_two_workers_crash_on_their_own_under_a_task)
{
    BOOST_TEST(checkSchedules("sound jobs", schedules, [] {
        const auto fleet = playSchedule(0);
        for (auto waited = 0s; waited < pausesAreOver && !fleet->haveSoundJobsEnded(); waited += 10s)
            fleet->observeFor(10s);
        for (const auto& id : fleet->soundJobs()) {
            const auto end = fleet->endOf(id);
            if (end != jobs::job_state::completed && !(end == jobs::job_state::failed && fleet->mayFail(id)))
                RC_FAIL(fmt::format("{} {}\n{}", id, end ? "has failed" : "is not completed", fleet->timeline.textOf(id)));
        }
    }));
}

// Guards against deadly tasks that take more workers than the platform bears while other losses hide whose crashes they are.
BOOST_AUTO_TEST_CASE(deadly_tasks_crash_fewer_workers_than_the_platform_bears)
{
    BOOST_TEST(checkSchedules("deadly tasks", schedules, [] {
        const auto fleet = playSchedule(1);
        fleet->observeFor(60s);
        for (const auto& id : fleet->stored) {
            if (id.starts_with("deadly") && fleet->workers.crashesUnder({ id, 0, 0, 0 }) >= maxStartsOfPlatform)
                RC_FAIL(id + " has crashed too many workers\n" + fleet->timeline.textOf(id));
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
