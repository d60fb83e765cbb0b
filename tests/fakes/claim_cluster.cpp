#include "tests/fakes/claim_cluster.h"

#include <fmt/format.h>

namespace coriandermount::fakes {

using namespace std::chrono_literals;
using namespace claims;

namespace {

    constexpr std::chrono::milliseconds wallStart { 1796342400000 };

    // Text form of an answer: customer, name and issue time of the key, and the output of the first task, one per line.
    std::string encodeAnswer(const job_answer& answer)
    {
        return fmt::format("{}\n{}\n{}\n{}", answer.key.customer.value, answer.key.name,
            answer.key.issuedAt.time_since_epoch().count(), answer.tasks.empty() ? "" : answer.tasks[0].output);
    }

    result<job_answer> decodeAnswer(const std::string& text)
    {
        std::istringstream source(text);
        job_answer answer;
        std::string issuedAt;
        task_report report;
        std::getline(source, answer.key.customer.value);
        std::getline(source, answer.key.name);
        std::getline(source, issuedAt);
        std::getline(source, report.output);
        answer.key.issuedAt = wall_time(std::chrono::milliseconds(std::stoll(issuedAt)));
        answer.result = outcome::done;
        answer.tasks.push_back(report);
        return answer;
    }

} // namespace

claim_cluster::claim_cluster(claim_cluster_options options)
    : m_options(options)
    , m_random(options.seed)
{
    for (unsigned domain = 0; domain < options.domains; ++domain) {
        for (unsigned index = 0; index < options.vmsPerDomain; ++index) {
            vm added;
            added.id = fmt::format("vm{}", m_nextVmNumber++);
            added.domain = domain;
            added.rack = fmt::format("rack{}", index);
            m_vms.push_back(std::move(added));
        }
    }
    for (unsigned index = 0; index < vmCount(); ++index)
        start(index);
}

void claim_cluster::start(unsigned index)
{
    vm& target = m_vms[index];
    // The timeouts are shorter than the defaults, most by a factor of ten or more, so that leases expire within a schedule.
    claim_core_options options;
    options.self = { { target.id }, target.incarnation, target.address() };
    options.rack = target.rack;
    options.domain.value = fmt::format("d{}", target.domain);
    options.resubmissionWindow = 30s;
    options.maxClockSkew = 500ms;
    options.maxVmClockError = 600ms;
    options.viewLease = 3s;
    options.memberTimeout = 300ms;
    options.removalSettleTime = 200ms;
    options.joinSettleTime = 100ms;
    options.republishInterval = 300ms;
    options.viewLossTimeout = 1s;
    options.holderTimeout = 1s;
    options.heartbeatInterval = 100ms;
    options.logReadInterval = 200ms;
    options.guards = m_options.guards;
    target.core = std::make_unique<claim_core>(options, answer_codec { encodeAnswer, decodeAnswer });
    target.pausedUntil = {};
    target.callers.clear();
    target.recordsRead = 0;
    publishFleet();
    tick(index);
}

void claim_cluster::publishFleet()
{
    for (auto& target : m_vms) {
        if (!target.core)
            continue;
        fleet_contacts contacts;
        std::map<unsigned, domain_contacts> others;
        for (const auto& other : m_vms) {
            if (!other.core)
                continue;
            if (other.domain == target.domain)
                contacts.ownDomain.push_back({ { other.id }, other.address(), false });
            else
                others[other.domain].addresses.push_back(other.address());
        }
        for (unsigned domain = 0; domain < m_options.domains; ++domain) {
            if (domain == target.domain)
                continue;
            others[domain].domain.value = fmt::format("d{}", domain);
            contacts.otherDomains.push_back(others[domain]);
        }
        target.core->setFleet(std::move(contacts));
    }
}

void claim_cluster::schedule(std::chrono::nanoseconds delay, std::function<void()> action)
{
    m_events.push({ m_now + delay, m_order++, std::move(action) });
}

void claim_cluster::onVm(unsigned index, std::chrono::nanoseconds delay, std::function<void(claim_core&)> action)
{
    schedule(delay, [this, index, address = m_vms[index].address(), action = std::move(action)] {
        vm& target = m_vms[index];
        if (!target.core || target.address() != address)
            return;
        if (m_now < target.pausedUntil)
            onVm(index, target.pausedUntil - m_now, action);
        else
            action(*target.core);
    });
}

input_time claim_cluster::inputTimeOf(const vm& target) const { return { m_now, wall() + target.clockError }; }

wall_time claim_cluster::wall() const
{
    return wall_time(wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
}

void claim_cluster::run(std::chrono::milliseconds span)
{
    const time_point end = m_now + span;
    while (!m_events.empty() && m_events.top().at <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.at);
        next.action();
    }
    m_now = end;
}

void claim_cluster::tick(unsigned index)
{
    onVm(index, m_tickInterval, [this, index](claim_core& core) {
        carryOut(index, core.tick(inputTimeOf(m_vms[index])));
        tick(index);
    });
}

void claim_cluster::carryOut(unsigned index, const outputs& out)
{
    for (const auto& message : out.messages)
        send(index, message);
    for (const auto& view : out.appends)
        append(index, view);
    if (out.readLog)
        readLog(index);
    for (const auto& decision : out.decisions)
        handleDecision(index, decision);
}

void claim_cluster::send(unsigned from, const outgoing_message& message)
{
    ++m_messages;
    const unsigned copies = chance(100) < m_options.duplicationChance ? 2 : 1;
    for (unsigned to = 0; to < vmCount(); ++to) {
        if (m_vms[to].address() != message.address)
            continue;
        for (unsigned copy = 0; copy < copies; ++copy) {
            if (chance(100) < m_options.lossChance)
                continue;
            // The partition is checked on delivery, so that messages in transit are dropped, too.
            const auto base = m_vms[from].domain == m_vms[to].domain ? 100us : 1500us;
            schedule(base + std::chrono::microseconds(chance(2000)), [this, from, to, message] {
                if (m_vms[to].address() != message.address || m_partitions.contains({ std::min(from, to), std::max(from, to) }))
                    return;
                onVm(to, 0ns,
                    [this, to, message](claim_core& core) { carryOut(to, core.receive(message.body, inputTimeOf(m_vms[to]))); });
            });
        }
    }
}

void claim_cluster::append(unsigned index, const claim_view& view)
{
    schedule(std::chrono::milliseconds(2 + chance(20)), [this, index, view] {
        if (m_logDown || m_partitionedFromLog.contains(index))
            return;
        m_log[m_vms[index].domain].push_back(view);
        if (!m_dropAppendAnswers && m_vms[index].core)
            onVm(index, 1ms, [this, index](claim_core&) { readLog(index); });
    });
}

void claim_cluster::readLog(unsigned index)
{
    const time_point sentAt = m_now;
    schedule(std::chrono::milliseconds(1 + chance(5)), [this, index, sentAt] {
        if (m_logDown || m_partitionedFromLog.contains(index) || !m_vms[index].core)
            return;
        const auto& records = m_log[m_vms[index].domain];
        const std::size_t from = m_vms[index].recordsRead;
        std::vector<claim_view> views(records.begin() + static_cast<std::ptrdiff_t>(from), records.end());
        onVm(index, 1ms, [this, index, sentAt, end = records.size(), views = std::move(views)](claim_core& core) {
            m_vms[index].recordsRead = end;
            carryOut(index, core.applyLogRecords(views, true, sentAt, inputTimeOf(m_vms[index])));
        });
    });
}

void claim_cluster::submit(unsigned index, const job_key& key, std::uint64_t contentDigest)
{
    if (!m_vms[index].core)
        return;
    onVm(index, 0ns, [this, index, key, contentDigest](claim_core& core) {
        const caller_token token { m_nextToken++ };
        m_vms[index].callers[token] = { key, contentDigest };
        carryOut(index, core.submit({ key, contentDigest, false }, token, inputTimeOf(m_vms[index])));
    });
}

void claim_cluster::handleDecision(unsigned index, const caller_decision& decision)
{
    const auto node = m_vms[index].callers.extract(decision.token);
    const auto& [key, contentDigest] = node.mapped();
    if (decision.decision && decision.decision->granted())
        runJob(index, key, contentDigest);
    else
        record(index, key, contentDigest,
            decision.decision ? result<job_answer>(*decision.decision->answer)
                              : tl::unexpected<error>(decision.decision.error()));
}

void claim_cluster::runJob(unsigned index, const job_key& key, std::uint64_t contentDigest)
{
    if (chance(100) < m_options.refusalChance) {
        onVm(index, std::chrono::milliseconds(chance(30)), [this, index, key, contentDigest](claim_core& core) {
            const job_answer refusal = refusedAnswer(key, { error_kind::queue_full, {}, std::nullopt });
            carryOut(index, core.release(refusal, inputTimeOf(m_vms[index])));
            record(index, key, contentDigest, refusal);
        });
        return;
    }
    onVm(index, std::chrono::milliseconds(chance(30)), [this, index, key, contentDigest](claim_core&) {
        ++m_starts[key];
        m_startedContent[key] = contentDigest;
        onVm(index, std::chrono::milliseconds(20 + chance(400)), [this, index, key, contentDigest](claim_core& core) {
            job_answer answer;
            answer.key = key;
            answer.result = outcome::done;
            answer.tasks.emplace_back();
            answer.tasks[0].output = fmt::format("{} of {}", contentDigest, m_vms[index].address());
            carryOut(index, core.finish(answer, inputTimeOf(m_vms[index])));
            record(index, key, contentDigest, answer);
        });
    });
}

void claim_cluster::record(unsigned, const job_key& key, std::uint64_t contentDigest, const result<job_answer>& answer)
{
    caller_answer callerAnswer { key, contentDigest, outcome::may_have_run, std::nullopt, {}, startsOf(key) };
    if (answer) {
        callerAnswer.result = answer->result;
        callerAnswer.output = answer->tasks.empty() ? "" : answer->tasks[0].output;
        if (answer->problem)
            callerAnswer.problem = answer->problem->kind;
    } else {
        callerAnswer.result = rowOf(answer.error().kind).result;
        callerAnswer.problem = answer.error().kind;
    }
    m_answers.push_back(std::move(callerAnswer));
}

void claim_cluster::kill(unsigned index)
{
    m_vms[index].core.reset();
    publishFleet();
}

void claim_cluster::restart(unsigned index)
{
    m_vms[index].core.reset();
    ++m_vms[index].incarnation;
    start(index);
}

void claim_cluster::replace(unsigned index)
{
    m_vms[index].core.reset();
    m_vms[index].id = fmt::format("vm{}", m_nextVmNumber++);
    start(index);
}

void claim_cluster::pause(unsigned index, std::chrono::milliseconds span) { m_vms[index].pausedUntil = m_now + span; }

void claim_cluster::setClockError(unsigned index, std::chrono::milliseconds error) { m_vms[index].clockError = error; }

void claim_cluster::partition(unsigned first, unsigned second)
{
    m_partitions.insert({ std::min(first, second), std::max(first, second) });
}

void claim_cluster::isolate(unsigned index)
{
    for (unsigned other = 0; other < vmCount(); ++other) {
        if (other != index && m_vms[other].domain == m_vms[index].domain)
            partition(index, other);
    }
}

void claim_cluster::partitionDomains(unsigned first, unsigned second)
{
    for (unsigned left = 0; left < vmCount(); ++left) {
        for (unsigned right = 0; right < vmCount(); ++right) {
            if (m_vms[left].domain == first && m_vms[right].domain == second)
                partition(left, right);
        }
    }
}

void claim_cluster::heal()
{
    m_partitions.clear();
    m_partitionedFromLog.clear();
    m_logDown = false;
    m_dropAppendAnswers = false;
    for (unsigned index = 0; index < vmCount(); ++index) {
        m_vms[index].clockError = 0ms;
        m_vms[index].pausedUntil = {};
        if (!m_vms[index].core)
            replace(index);
    }
}

bool claim_cluster::serving(unsigned index) const
{
    return m_vms[index].core && m_vms[index].core->serving(inputTimeOf(m_vms[index]));
}

std::string claim_cluster::issueName(unsigned index) { return m_vms[index].core->issueId(inputTimeOf(m_vms[index])); }

unsigned claim_cluster::startsOf(const job_key& key) const
{
    const auto found = m_starts.find(key);
    return found == m_starts.end() ? 0 : found->second;
}

std::string claim_cluster::findViolation() const
{
    for (const auto& [key, starts] : m_starts) {
        if (starts > 1)
            return fmt::format("job {} was started {} times", key.name, starts);
    }
    std::map<job_key, std::string> outputOf;
    for (const auto& callerAnswer : m_answers) {
        const bool conflict = callerAnswer.problem == error_kind::job_conflict;
        if (callerAnswer.result == outcome::not_run && callerAnswer.startsBefore > 0 && !conflict)
            return fmt::format("job {} was reported as not run although it had been started", callerAnswer.key.name);
        if (callerAnswer.result != outcome::done)
            continue;
        const auto first = outputOf.emplace(callerAnswer.key, callerAnswer.output).first;
        if (first->second != callerAnswer.output)
            return fmt::format("job {} got two different answers", callerAnswer.key.name);
        if (m_startedContent.at(callerAnswer.key) != callerAnswer.contentDigest)
            return fmt::format("job {} with other content got the answer of the first content", callerAnswer.key.name);
    }
    return {};
}

} // namespace coriandermount::fakes
