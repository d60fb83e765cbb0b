#include "tests/fakes/resubmitting_callers.h"

#include <fmt/format.h>

namespace coriandermount::fakes {

namespace {

    constexpr unsigned domains = 2;
    constexpr unsigned vmsPerDomain = 3;

} // namespace

resubmitting_callers::resubmitting_callers(cell_fleet& fleet, std::chrono::milliseconds timeout)
    : m_fleet(fleet)
    , m_timeout(timeout)
{
    m_fleet.onAnswer = [this](const recorded_answer& answer) { onAnswer(answer); };
}

resubmitting_callers::~resubmitting_callers() { m_fleet.onAnswer = nullptr; }

void resubmitting_callers::submit(
    const std::string& vm, std::uint64_t seed, std::uint32_t tasks, std::chrono::milliseconds duration)
{
    const std::string jobId = fmt::format("of-caller-{}", m_callers.size());
    m_callers.emplace(jobId, caller { seed, tasks, duration, vm, 0, false });
    send(jobId);
}

void resubmitting_callers::send(const std::string& jobId)
{
    caller& current = m_callers.at(jobId);
    if (!m_fleet.isAlive(current.vm))
        return;
    const unsigned submission = ++current.submissions;
    current.waits = true;
    m_fleet.run(current.vm, jobId, current.tasks, current.duration, m_timeout);
    m_fleet.loop.after(m_timeout, [this, jobId, submission] {
        const caller& waiting = m_callers.at(jobId);
        if (!waiting.waits || waiting.submissions != submission)
            return;
        m_fleet.disconnectCaller(waiting.vm, jobId);
        lose(jobId);
    });
}

void resubmitting_callers::onAnswer(const recorded_answer& answer)
{
    const auto found = m_callers.find(answer.jobId);
    if (found == m_callers.end() || !found->second.waits || found->second.vm != answer.vm)
        return;
    if (!answer.answer && rowOf(answer.answer.error().kind).result == outcome::may_have_run)
        lose(answer.jobId);
    else
        found->second.waits = false;
}

void resubmitting_callers::lose(const std::string& jobId)
{
    caller& current = m_callers.at(jobId);
    current.waits = false;
    if (current.submissions >= mostSubmissions)
        return;
    m_fleet.loop.after(retransmissionDelay, [this, jobId] {
        caller& resubmitting = m_callers.at(jobId);
        resubmitting.vm = chooseVm(resubmitting.seed + resubmitting.submissions);
        send(jobId);
    });
}

std::string resubmitting_callers::chooseVm(std::uint64_t seed) const
{
    constexpr unsigned vms = domains * vmsPerDomain;
    for (unsigned offset = 0; offset < vms; ++offset) {
        const auto number = static_cast<unsigned>((seed + offset) % vms);
        std::string vm = cell_fleet::vmName(number % domains, number / domains);
        if (m_fleet.isAlive(vm))
            return vm;
    }
    return {};
}

void resubmitting_callers::breakConnection(std::uint64_t seed)
{
    std::vector<std::string> waiting;
    for (const auto& [jobId, current] : m_callers) {
        if (current.waits)
            waiting.push_back(jobId);
    }
    if (waiting.empty())
        return;
    const std::string& jobId = waiting[seed % waiting.size()];
    m_fleet.disconnectCaller(m_callers.at(jobId).vm, jobId);
    lose(jobId);
}

void resubmitting_callers::noteLost(const std::string& vm)
{
    for (const auto& [jobId, current] : m_callers) {
        if (current.waits && current.vm == vm)
            lose(jobId);
    }
}

} // namespace coriandermount::fakes
