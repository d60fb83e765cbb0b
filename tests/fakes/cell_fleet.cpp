#include "tests/fakes/cell_fleet.h"

#include <deque>
#include <utility>

#include <fmt/format.h>

#include "jobs/record_tail.h"
#include "net/datagram_socket.h"
#include "platform/evacuation_list.h"

namespace coriandermount::fakes {

using namespace cells;

namespace {

    constexpr std::chrono::milliseconds tickInterval { 10 };
    constexpr std::chrono::milliseconds networkDelay { 1 };
    constexpr std::chrono::milliseconds callTimeout { 1500 };
    /// Time until a VM notices that one of its connections was closed.
    constexpr std::chrono::milliseconds disconnectDelay { 50 };
    /// Delay of queries for lent jobs; longer than callers' VMs take to send their jobs to a new owner.
    constexpr std::chrono::milliseconds lentQueryDelay { 60 };
    /// Time from SIGTERM to SIGKILL.
    constexpr std::chrono::milliseconds stopGrace { 6000 };
    constexpr std::chrono::milliseconds stopCheckInterval { 50 };
    /// Time between the release of a cell and the end of the process.
    constexpr std::chrono::milliseconds releaseDelay { 80 };
    constexpr std::int64_t workerCpu = 16000;
    constexpr std::int64_t taskCpu = 7000;

    constexpr const char* operatorTopic = "operators";

    std::vector<std::string> domainNames(unsigned domains)
    {
        std::vector<std::string> names;
        for (unsigned domain = 0; domain < domains; ++domain)
            names.push_back(std::to_string(domain));
        return names;
    }

    /// Reads the evacuations and passes them to an owner.
    class evacuation_reader final : jobs::record_listener {
    public:
        evacuation_reader(jobs::record_store& store, const clock_source& clock, cell_owner& owner, unsigned domains)
            : m_list(domainNames(domains), [&owner](const evacuation_state& state) { owner.setEvacuations(state); })
            , m_tail(store, clock, { operatorTopic, 0 }, *this)
        {
        }

        void start() { m_tail.start(); }
        void tick(time_point now) { m_tail.tick(now); }

    private:
        void onSnapshot(const std::vector<jobs::record>& records) override { m_list.applySnapshot(records); }
        void onRecord(const jobs::record& current) override { m_list.apply(current); }
        void onCaughtUp(time_point requestedAt) override { m_list.publish(requestedAt); }

        platform::evacuation_list m_list;
        jobs::record_tail m_tail;
    };

    cell_settings settingsOf(bool hasEvacuations)
    {
        cell_settings settings;
        settings.hasEvacuations = hasEvacuations;
        settings.evacuationBound = cell_fleet::evacuationBound;
        return settings;
    }

    unsigned domainOf(const std::string& vm) { return static_cast<unsigned>(std::stoul(vm.substr(2, vm.find('-') - 2))); }

} // namespace

struct cell_fleet::vm final : jobs::record_store,
                              worker_link,
                              heartbeat_link,
                              owner_link,
                              worker_source,
                              std::enable_shared_from_this<cell_fleet::vm> {
    cell_fleet& fleet;
    std::string name;
    cell_number cell;
    std::uint64_t incarnation;
    /// Processor time in thousandths of a core; 0 for no limit.
    std::uint32_t processorMillis;
    /// Until when the processor handles the messages that have arrived.
    time_point busyUntil;
    bool alive = true;
    bool frozen = false;
    /// What has arrived since the VM was frozen.
    std::deque<std::function<void()>> arrived;
    bool workerSourceStarted = false;
    cell_owner owner;
    evacuation_reader evacuations;
    cell_member member;
    vm_directory directory;
    job_router router;
    fleet_neighbors neighbors;
    jobs::store_contact storeContact;
    jobs::job_intake intake;

    vm(cell_fleet& parent, std::string vmName, std::uint64_t incarnationNumber)
        : fleet(parent)
        , name(std::move(vmName))
        , cell(domainOf(name))
        , incarnation(incarnationNumber)
        , processorMillis(parent.m_processorMillis[name])
        , owner(*this, *this, parent.loop, { "jobs", cell }, settingsOf(parent.m_hasEvacuations))
        , evacuations(*this, parent.loop, owner, parent.m_domains)
        , member(*this, parent.loop, owner, *this, { "cells", cell }, cell, identity())
        , directory(*this, *this, parent.loop, { "vms", 0 }, { identity(), name, { std::to_string(cell) } },
              [this] {
                  return heartbeat { { name }, incarnation, member.isDraining(), member.storeReachable(), { member.view() },
                      processorMillis };
              })
        , router(parent.loop, owner, *this, [this] { return target(); })
        , neighbors(parent.loop, owner, *this, directory, cell, parent.m_domains)
        , storeContact(parent.loop)
        , intake(*this, parent.loop, { "jobs", cell }, storeContact)
    {
        owner.setNeighbors(neighbors);
    }

    vm_incarnation identity() const { return { { name }, incarnation, processorMillis }; }

    /// Runs `call` once the processor has handled what arrived before. Has no effect if the VM has ended by then.
    void handle(std::function<void()> call)
    {
        if (frozen) {
            arrived.push_back([this, call = std::move(call)] { handle(call); });
            return;
        }
        if (processorMillis == 0) {
            call();
            return;
        }
        const auto cost = std::chrono::nanoseconds(messageCost) * 1000 / processorMillis;
        busyUntil = std::max(busyUntil, fleet.loop.now()) + cost;
        fleet.loop.after(busyUntil - fleet.loop.now(), [weak = weak_from_this(), call = std::move(call)] {
            const auto self = weak.lock();
            if (self && self->alive)
                call();
        });
    }

    /// Runs `call` at once, or when the VM runs on if it is frozen.
    void receive(std::function<void()> call)
    {
        if (frozen)
            arrived.push_back(std::move(call));
        else
            call();
    }

    std::optional<run_target> target() const
    {
        if (member.isOwner())
            return run_target { true, {}, member.view().epoch };
        const auto cellOwner = directory.owner(cell);
        return cellOwner ? std::optional(run_target { false, cellOwner->address, cellOwner->epoch }) : std::nullopt;
    }

    void tick()
    {
        member.setHeartbeatScope(directory.heartbeatScope());
        member.tick();
        directory.tick();
        evacuations.tick(fleet.loop.now());
        owner.tick();
        router.tick();
        neighbors.tick();
        storeContact.tick(*this, { "vms", 0 });
        intake.tick();
    }

    /// Returns a completion that does nothing once this incarnation of the VM has ended.
    template <class Answer> std::function<void(Answer)> completeIfAlive(std::function<void(Answer)> done)
    {
        return [weak = weak_from_this(), done = std::move(done)](Answer answer) {
            const auto self = weak.lock();
            if (self && self->alive)
                self->handle([done, answer = std::move(answer)] { done(answer); });
        };
    }

    store_fault storeFault() const
    {
        const auto found = fleet.m_storeFaults.find(name);
        return found == fleet.m_storeFaults.end() ? store_fault::none : found->second;
    }

    /// Tells `storeContact` of a call to the store that is sent now, and of its end.
    template <class Answer> std::function<void(Answer)> noteCall(std::chrono::milliseconds wait, std::function<void(Answer)> done)
    {
        const bool isAnswered = storeFault() == store_fault::none || storeFault() == store_fault::refuses_requests;
        return [this, number = storeContact.noteCall(wait), isAnswered, done = std::move(done)](Answer answer) {
            if (isAnswered)
                storeContact.noteAnswer(number);
            else
                storeContact.noteFailure(number);
            done(std::move(answer));
        };
    }

    void append(jobs::append_request request, append_completion done) override
    {
        fleet.records.append(request, storeFault(),
            completeIfAlive<result<std::uint64_t>>(noteCall(std::chrono::milliseconds(0), std::move(done))));
    }
    void read(
        const jobs::record_stream& stream, std::uint64_t from, std::chrono::milliseconds wait, read_completion done) override
    {
        fleet.records.read(
            stream, from, wait, storeFault(), completeIfAlive<result<jobs::record_batch>>(noteCall(wait, std::move(done))));
    }
    void readNewest(const jobs::record_stream& stream, read_completion done) override
    {
        fleet.records.readNewest(stream, storeFault(),
            completeIfAlive<result<jobs::record_batch>>(noteCall(std::chrono::milliseconds(0), std::move(done))));
    }

    void start(const worker_registration& worker, const start_order& order, completion<order_answer> done) override
    {
        fleet.noteStartSent(name, order);
        fleet.workers.start(worker.id, order, completeIfAlive<tl::expected<order_answer, order_failure>>(std::move(done)));
    }
    void stop(const worker_registration& worker, const stop_order& order, completion<order_answer> done) override
    {
        fleet.workers.stop(worker.id, order, completeIfAlive<tl::expected<order_answer, order_failure>>(std::move(done)));
    }
    void poll(const worker_registration& worker, const poll_order& order, completion<poll_answer> done) override
    {
        fleet.workers.poll(worker.id, order, completeIfAlive<tl::expected<poll_answer, order_failure>>(std::move(done)));
    }

    void send(const std::string& address, const std::string& datagram) override
    {
        fleet.loop.after(networkDelay, [&fleet = fleet, from = name, address, datagram] {
            vm* target = fleet.reachable(from, address);
            const auto current = decodeHeartbeat(datagram.substr(0, net::maxDatagramBytes));
            if (!target || !current)
                return;
            target->handle([target, heartbeat = *current] {
                target->directory.onHeartbeat(heartbeat);
                target->member.onHeartbeat(heartbeat);
            });
        });
    }

    void run(const std::string& address, const jobs::run_request& request, job_completion done) override
    {
        if (!request.lentBy)
            fleet.m_runCalls.push_back({ name, address, request.accepted.work.id, request.id });
        auto answered = std::make_shared<bool>(false);
        auto once = [answered, done = completeIfAlive<result<jobs::job_state>>(std::move(done))](
                        const result<jobs::job_state>& answer) {
            if (!std::exchange(*answered, true))
                done(answer);
        };
        fleet.loop.after(networkDelay, [&fleet = fleet, from = name, address, request, once] {
            const bool arrives = fleet.reachable(from, address) != nullptr;
            fleet.timeline.note(request.accepted.work.id,
                fmt::format("{} by {} to {}{}{}", request.lentBy ? "lent" : "sent", from, address,
                    request.mayHaveStarted ? ", may have started" : "", arrives ? "" : ": lost"));
            if (!arrives)
                return;
            fleet.loop.after(fleet.m_callDelays[from], [&fleet, from, address, request, once] {
                if (!fleet.isAlive(address))
                    return;
                vm& target = *fleet.m_vms.at(address);
                target.handle([&target, from, request, once] { target.answerRun(from, request, once); });
            });
        });
        fleet.loop.after(std::max(request.timeLeft, callTimeout), [once] { once(fail(error_kind::owner_unknown, "no answer")); });
    }

    void answerRun(const std::string& from, const jobs::run_request& request, const job_completion& once)
    {
        owner.run(request, [&fleet = fleet, from, address = name, once](const result<jobs::job_state>& answer) {
            fleet.loop.after(fleet.m_callDelays[address] + networkDelay, [&fleet, from, address, once, answer] {
                if (fleet.reachable(address, from))
                    once(answer);
            });
        });
    }

    void withdraw(
        const std::string& address, const std::string& jobId, const jobs::request_id& request, withdrawal_reason reason) override
    {
        fleet.loop.after(networkDelay, [&fleet = fleet, from = name, address, jobId, request, reason] {
            vm* target = fleet.reachable(from, address);
            fleet.timeline.note(jobId, fmt::format("withdrawn by {} at {}{}", from, address, target ? "" : ": lost"));
            if (target)
                target->receive([target, jobId, request, reason] { target->owner.withdraw(jobId, request, reason); });
        });
    }

    void sendKeepAlive(const std::string& address, const keep_alive& current) override
    {
        fleet.loop.after(networkDelay, [&fleet = fleet, from = name, address, current] {
            if (vm* target = fleet.reachable(from, address))
                target->handle([target, current] { target->owner.noteKeepAlive(current); });
        });
    }

    void queryLentJobs(const std::string& address, jobs::lender home, std::function<void(lent_report)> done) override
    {
        auto answered = std::make_shared<bool>(false);
        auto once = [answered, done = completeIfAlive<lent_report>(std::move(done))](const lent_report& report) {
            if (!std::exchange(*answered, true))
                done(report);
        };
        fleet.loop.after(lentQueryDelay, [&fleet = fleet, from = name, address, home, once] {
            if (vm* target = fleet.reachable(from, address))
                target->handle([target, home, once] { once(target->owner.jobsLentBy(home)); });
        });
        fleet.loop.after(lentJobsAnswerLimit, [once] { once({}); });
    }

    void queryPending(const std::string& address, const std::string& queue, pending_completion done) override
    {
        auto answered = std::make_shared<bool>(false);
        auto once
            = [answered, done = completeIfAlive<result<std::uint32_t>>(std::move(done))](const result<std::uint32_t>& answer) {
                  if (!std::exchange(*answered, true))
                      done(answer);
              };
        fleet.loop.after(networkDelay, [&fleet = fleet, from = name, address, queue, once] {
            if (vm* target = fleet.reachable(from, address))
                target->handle([target, queue, once] { once(target->owner.pending(queue)); });
        });
        fleet.loop.after(callTimeout, [once] { once(fail(error_kind::owner_unknown, "no answer")); });
    }

    void start() override
    {
        workerSourceStarted = true;
        fleet.timeline.note(fmt::format("{} owns cell {} in epoch {}", name, cell, member.view().epoch));
        owner.setWorkers(listedWorkers());
    }
    std::vector<worker_registration> listedWorkers() const
    {
        auto listed = fleet.workers.registrations(std::to_string(cell));
        std::erase_if(listed, [this](const auto& worker) { return fleet.m_unlistedWorkers.contains(worker.id.value); });
        return listed;
    }
    void stop() override { workerSourceStarted = false; }
    void tick(time_point) override
    {
        if (!workerSourceStarted)
            return;
        for (const auto& worker : listedWorkers())
            owner.updateWorker(worker);
        for (const auto& worker : fleet.workers.unregistered(std::to_string(cell)))
            owner.removeWorker(worker);
    }
};

cell_fleet::cell_fleet(unsigned domains, unsigned vms, unsigned workersPerDomain, bool hasEvacuations)
    : m_domains(domains)
    , m_hasEvacuations(hasEvacuations)
{
    workers.noteEventsIn(timeline);
    for (unsigned domain = 0; domain < domains; ++domain) {
        for (unsigned number = 0; number < workersPerDomain; ++number)
            workers.add(workerName(domain, number), std::to_string(domain), workerCpu);
        for (unsigned number = 0; number < vms; ++number)
            start(vmName(domain, number));
    }
}

cell_fleet::~cell_fleet()
{
    for (auto& [name, current] : m_vms)
        current->alive = false;
}

std::string cell_fleet::vmName(unsigned domain, unsigned number) { return fmt::format("vm{}-{}", domain, number); }

std::string cell_fleet::workerName(unsigned domain, unsigned number) { return fmt::format("worker{}-{}", domain, number); }

void cell_fleet::start(const std::string& vm)
{
    if (m_vms.contains(vm))
        return;
    timeline.note(vm + " starts");
    auto started = std::make_shared<cell_fleet::vm>(*this, vm, ++m_lastIncarnation);
    m_vms.emplace(vm, started);
    m_disturbedAt[vm] = loop.now();
    started->evacuations.start();
    started->directory.start();
    started->member.start();
    schedule(vm);
}

void cell_fleet::schedule(const std::string& name)
{
    loop.after(tickInterval, [this, name, incarnation = m_vms.at(name)->incarnation] {
        const auto found = m_vms.find(name);
        if (found == m_vms.end() || found->second->incarnation != incarnation)
            return;
        vm& current = *found->second;
        current.handle([this, &current] {
            current.tick();
            schedule(current.name);
        });
    });
}

void cell_fleet::kill(const std::string& vm)
{
    const auto found = m_vms.find(vm);
    if (found == m_vms.end())
        return;
    timeline.note(vm + " ends");
    found->second->alive = false;
    found->second->arrived.clear();
    // `alive` is cleared before the VM is destroyed, so that its pending completions have no effect.
    const auto ended = found->second;
    m_vms.erase(found);
    if (!m_partitioned.contains(vm))
        breakCallsOf(vm);
}

void cell_fleet::breakCallsOf(const std::string& from)
{
    for (const run_call& call : m_runCalls) {
        if (call.from != from)
            continue;
        loop.after(networkDelay + disconnectDelay, [this, call] {
            const auto called = m_vms.find(call.address);
            if (called != m_vms.end() && !m_partitioned.contains(call.address))
                called->second->receive([target = called->second, call] { target->owner.withdraw(call.jobId, call.request); });
        });
    }
    std::erase_if(m_runCalls, [&from](const run_call& call) { return call.from == from; });
}

void cell_fleet::disconnectCaller(const std::string& vm, const std::string& jobId)
{
    timeline.note(jobId, "its caller at " + vm + " leaves");
    m_leftSubmissions.insert(m_submissions.at({ vm, jobId }));
    m_vms.at(vm)->receive([this, vm, jobId] {
        loop.after(disconnectDelay, [this, vm, number = m_callerRequests.at({ vm, jobId })] {
            if (isAlive(vm))
                m_vms.at(vm)->receive([target = m_vms.at(vm), number] { target->router.withdraw(number); });
        });
    });
}

void cell_fleet::drain(const std::string& vm)
{
    timeline.note(vm + " drains");
    if (isAlive(vm))
        m_vms.at(vm)->member.drain(loop.now());
}

void cell_fleet::restartOrderly(const std::string& vm, std::chrono::milliseconds downtime)
{
    if (!isAlive(vm))
        return;
    timeline.note(vm + " begins an orderly stop");
    const orderly_stop stop(loop.now(), stopGrace);
    m_vms.at(vm)->router.endBy(stop.answerLimit());
    m_vms.at(vm)->member.drain(stop.preferenceLimit());
    continueStop(vm, stop, downtime);
}

void cell_fleet::continueStop(const std::string& name, const orderly_stop& stop, std::chrono::milliseconds downtime)
{
    const auto found = m_vms.find(name);
    if (found == m_vms.end())
        return;
    const std::size_t openRequests = found->second->router.waiting() + found->second->router.unsettledWithdrawals();
    if (!stop.mayEnd(loop.now(), openRequests, found->second->member.isOwner())) {
        loop.after(stopCheckInterval, [this, name, stop, downtime] { continueStop(name, stop, downtime); });
        return;
    }
    found->second->member.release();
    loop.after(releaseDelay, [this, name, downtime] {
        // The platform ends a frozen VM, which can't answer its callers any more.
        if (isAlive(name) && !m_vms.at(name)->frozen)
            m_vms.at(name)->router.stop();
        kill(name);
        loop.after(downtime, [this, name] { start(name); });
    });
}

void cell_fleet::freeze(const std::string& vm)
{
    timeline.note(vm + " freezes");
    m_disturbedAt[vm] = loop.now();
    m_vms.at(vm)->frozen = true;
}

void cell_fleet::thaw(const std::string& vm)
{
    timeline.note(vm + " thaws");
    m_disturbedAt[vm] = loop.now();
    const auto target = m_vms.at(vm);
    target->frozen = false;
    for (const auto& call : std::exchange(target->arrived, {}))
        call();
}

void cell_fleet::deliver(const std::string& vm, const heartbeat& garbled)
{
    m_vms.at(vm)->directory.onHeartbeat(garbled);
    m_vms.at(vm)->member.onHeartbeat(garbled);
}

cell_fleet::vm* cell_fleet::reachable(const std::string& from, const std::string& to)
{
    const auto found = m_vms.find(to);
    if (found == m_vms.end() || !m_vms.contains(from) || m_partitioned.contains(from) || m_partitioned.contains(to))
        return nullptr;
    return found->second.get();
}

void cell_fleet::countPending(const std::string& vm, const std::string& queue, cells::pending_completion done)
{
    m_vms.at(vm)->neighbors.countPending(queue, std::move(done));
}

std::string cell_fleet::owner(unsigned domain) const
{
    for (const auto& [name, current] : m_vms) {
        if (current->cell == domain && current->owner.isServing() && current->member.isOwner())
            return name;
    }
    return {};
}

jobs::accepted_job cell_fleet::makeJob(
    const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration, bool answeredAtEnd)
{
    jobs::accepted_job accepted;
    accepted.work.id = jobId;
    accepted.work.queue = "queue";
    accepted.work.payload = std::to_string(duration.count());
    accepted.work.answeredAtEnd = answeredAtEnd;
    jobs::step singleStep;
    singleStep.taskCount = tasks;
    singleStep.need = { taskCpu, 64, 0 };
    singleStep.estimate = duration;
    accepted.work.steps.push_back(singleStep);
    accepted.service.value = "service";
    accepted.maxAttempts = 3;
    accepted.objective = duration * 2 + std::chrono::milliseconds(2000);
    accepted.acceptedAt = loop.wallNow();
    return accepted;
}

void cell_fleet::run(const std::string& vm, const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration,
    std::chrono::milliseconds timeLeft)
{
    if (!isAlive(vm))
        return;
    timeline.note(jobId, "submitted at " + vm);
    const std::uint64_t submission = ++m_lastSubmission;
    m_submissions[{ vm, jobId }] = submission;
    m_vms.at(vm)->receive([this, vm, jobId, submission, job = makeJob(jobId, tasks, duration, true), timeLeft] {
        m_callerRequests[{ vm, jobId }] = m_vms.at(vm)->router.run(
            { job, false, timeLeft }, [this, vm, jobId, submission](const result<jobs::job_state>& answer) {
                answers.push_back({ jobId, answer, loop.now(), vm });
                timeline.note(jobId, fmt::format("{} answers: {}", vm, answer ? "ended" : answer.error().detail));
                if (onAnswer && !m_leftSubmissions.contains(submission))
                    onAnswer(answers.back());
            });
    });
}

void cell_fleet::store(const std::string& vm, const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration)
{
    m_vms.at(vm)->intake.store(makeJob(jobId, tasks, duration, false), [this, jobId](const result<void>& answer) {
        if (answer)
            stored.push_back(jobId);
    });
}

void cell_fleet::store(
    const std::string& vm, const std::string& jobId, const jobs::step& singleStep, std::chrono::milliseconds duration)
{
    store(vm, jobId, std::vector { singleStep }, duration);
}

void cell_fleet::store(
    const std::string& vm, const std::string& jobId, std::vector<jobs::step> steps, std::chrono::milliseconds duration)
{
    auto accepted = makeJob(jobId, 0, duration, false);
    accepted.work.steps = std::move(steps);
    for (auto& definition : accepted.work.steps)
        definition.estimate = duration;
    m_vms.at(vm)->intake.store(accepted, [this, jobId](const result<void>& answer) {
        if (answer)
            stored.push_back(jobId);
    });
}

void cell_fleet::storeIn(
    const std::string& queue, const std::string& vm, const std::string& jobId, std::chrono::milliseconds duration)
{
    auto accepted = makeJob(jobId, 1, duration, false);
    accepted.work.queue = queue;
    m_vms.at(vm)->intake.store(accepted, [this, jobId](const result<void>& answer) {
        if (answer)
            stored.push_back(jobId);
    });
}

void cell_fleet::storeFor(unsigned domain, const std::string& jobId, std::uint32_t tasks, std::chrono::milliseconds duration)
{
    jobs::append_request request;
    request.stream = { "jobs", domain };
    request.records.push_back({ jobs::acceptedKey(jobId), jobs::encodeAccepted(makeJob(jobId, tasks, duration, false)), 0 });
    records.append(request, store_fault::none, [this, jobId](const result<std::uint64_t>&) { stored.push_back(jobId); });
}

void cell_fleet::cancel(const std::string& vm, const std::string& jobId)
{
    m_vms.at(vm)->intake.cancel(jobId, [](const result<void>&) {});
}

void cell_fleet::queryState(unsigned domain, const std::string& jobId)
{
    m_vms.at(owner(domain))->owner.awaitState(jobId, [this, jobId](const result<jobs::job_state>& answer) {
        answers.push_back({ jobId, answer, loop.now(), {} });
    });
}

result<jobs::job_state> cell_fleet::state(unsigned domain, const std::string& jobId) const
{
    const std::string name = owner(domain);
    if (name.empty())
        return fail(error_kind::owner_unknown, "no owner");
    return m_vms.at(name)->owner.state(jobId);
}

void cell_fleet::evacuate(unsigned domain)
{
    timeline.note(fmt::format("domain {} is evacuated", domain));
    jobs::append_request request;
    request.stream = { operatorTopic, 0 };
    request.records.push_back({ "evacuate/" + std::to_string(domain), "{}", 0 });
    records.append(request, store_fault::none, [this, domain](const auto&) { m_evacuatedAt.try_emplace(domain, loop.now()); });
}

void cell_fleet::endEvacuation(unsigned domain)
{
    timeline.note(fmt::format("domain {} is taken back", domain));
    m_evacuatedAt.erase(domain);
    jobs::append_request request;
    request.stream = { operatorTopic, 0 };
    request.records.push_back({ "evacuate/" + std::to_string(domain), std::nullopt, 0 });
    records.append(request, store_fault::none, [](const auto&) {});
}

void cell_fleet::noteStartSent(const std::string& vm, const start_order& order)
{
    const unsigned domain = domainOf(vm);
    ++m_startsSent[domain];
    const auto evacuated = m_evacuatedAt.find(domain);
    if (evacuated == m_evacuatedAt.end() || loop.now() <= evacuated->second + evacuationBound)
        return;
    const auto fault = m_storeFaults.find(vm);
    const bool disturbed = m_vms.at(vm)->frozen || m_partitioned.contains(vm)
        || (fault != m_storeFaults.end() && fault->second != store_fault::none) || loop.now() < m_disturbedAt[vm] + stableTime;
    if (!disturbed)
        m_startsInEvacuatedDomains.push_back(fmt::format("{}.{}.{} was started by {} in the evacuated domain {}",
            order.task.jobId, order.task.step, order.task.index, vm, domain));
}

std::size_t cell_fleet::startsSent(unsigned domain) const
{
    const auto found = m_startsSent.find(domain);
    return found == m_startsSent.end() ? 0 : found->second;
}

cell_counters cell_fleet::counterValues(const std::string& vm) const { return m_vms.at(vm)->owner.counterValues(); }

} // namespace coriandermount::fakes
