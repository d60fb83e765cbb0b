#include "claims/claim_runner.h"

#include <fmt/format.h>

#include "claims/issued_id.h"

namespace coriandermount::claims {

namespace {

    constexpr std::chrono::milliseconds claimResendInterval { 120 };
    constexpr std::chrono::milliseconds unknownViewRetryInterval { 10 };
    constexpr std::chrono::milliseconds undecidedRetryInterval { 20 };
    constexpr std::chrono::milliseconds statusResendInterval { 1000 };
    constexpr std::chrono::milliseconds firstStatusResendInterval { 100 };
    constexpr std::chrono::milliseconds unreachableRetryDelay { 500 };
    constexpr std::chrono::seconds sweepInterval { 5 };

    constexpr std::string_view contentConflictMessage = "the first submission with this job id had different content";
    constexpr std::string_view answerDroppedMessage = "the job has ended and its answer is no longer kept";

} // namespace

claim_runner::claim_runner(const claim_core_options& options, const view_tracker& views, answer_codec codec)
    : m_options(options)
    , m_views(views)
    , m_codec(std::move(codec))
{
}

std::optional<error> claim_runner::checkIssueTime(const job_key& key, bool known, wall_time wall) const
{
    if (!known && key.issuedAt + m_options.resubmissionWindow < wall) {
        return error { error_kind::job_id_expired,
            fmt::format("the job id is {} ms old, the limit is {} ms", (wall - key.issuedAt).count(),
                m_options.resubmissionWindow.count()),
            std::nullopt };
    }
    // Beyond this limit no VM can have accepted the id, whatever the clock errors of the VMs are.
    const auto limit = m_options.maxClockSkew + 2 * m_options.maxVmClockError;
    if (key.issuedAt > wall + limit) {
        return error { error_kind::job_id_from_future,
            fmt::format("the job id's issue time is {} ms ahead of this VM's clock, the limit is {} ms",
                (key.issuedAt - wall).count(), limit.count()),
            std::nullopt };
    }
    return std::nullopt;
}

void claim_runner::submit(const claim_request& request, caller_token token, const input_time& at, outputs& out)
{
    const auto found = m_attempts.find(request.key);
    const auto ended = m_ended.find(request.key);
    const bool known = found != m_attempts.end() || ended;
    if (auto problem = checkIssueTime(request.key, known, at.wall)) {
        out.decisions.push_back({ token, tl::unexpected<error>(std::move(*problem)) });
        return;
    }
    const std::uint64_t firstDigest
        = found != m_attempts.end() ? found->second.contentDigest : (ended ? ended->contentDigest : 0);
    if (known && firstDigest != request.contentDigest) {
        out.decisions.push_back({ token, coriandermount::fail(error_kind::job_conflict, std::string(contentConflictMessage)) });
        return;
    }
    if (known) {
        awaitAnswer(request.key, token, out);
        return;
    }
    attempt& current = m_attempts[request.key];
    current.ref = { m_options.self, m_nextNumber++ };
    current.contentDigest = request.contentDigest;
    current.waiting.push_back(token);
    current.deadline = at.now + m_options.claimTimeout;
    m_open.insert(request.key);
    sendClaim(request.key, current, at, out);
}

void claim_runner::awaitAnswer(const job_key& key, caller_token token, outputs& out)
{
    const auto found = m_attempts.find(key);
    if (found != m_attempts.end())
        found->second.waiting.push_back(token);
    else if (m_ended.find(key))
        resolveEnded(key, token, out);
    else
        out.decisions.push_back({ token,
            coriandermount::fail(error_kind::job_unknown, fmt::format("this VM knows no claim on job id \"{}\"", key.name)) });
}

void claim_runner::resolveEnded(const job_key& key, caller_token token, outputs& out) const
{
    const auto kept = m_answers.find(key);
    if (kept != m_answers.end())
        out.decisions.push_back({ token, claim_decision { kept->second.answer, 0 } });
    else
        out.decisions.push_back({ token, coriandermount::fail(error_kind::answer_dropped, std::string(answerDroppedMessage)) });
}

std::vector<std::string> claim_runner::candidates(const job_key& key, const input_time& at) const
{
    std::vector<failure_domain_id> domains { m_options.domain };
    for (const auto& contact : m_contacts)
        domains.push_back(contact.domain);
    const failure_domain_id home = homeDomainOf(key, domains);
    std::vector<std::string> addresses;
    if (home != m_options.domain) {
        for (const auto& contact : m_contacts) {
            if (contact.domain == home)
                addresses = contact.addresses;
        }
        std::sort(addresses.begin(), addresses.end(),
            [&key](const auto& left, const auto& right) { return rendezvousWeight(key, left) > rendezvousWeight(key, right); });
        return addresses;
    }
    const auto issued = parseIssuedId(key.name);
    if (issued && issued->isIssuerOnly()) {
        if (std::string address = m_views.addressOf(issued->vm); !address.empty())
            addresses.push_back(std::move(address));
        return addresses;
    }
    if (!m_views.newest())
        return addresses;
    // A voter coordinates the claim itself, which saves a call. It still requests the owner's vote first.
    const bool serving = m_views.serving(at);
    if (serving)
        addresses.push_back(m_options.self.address);
    for (const auto& member : rankMembers(*m_views.newest(), key)) {
        if (m_views.alive(member.vm, at.now) && !(serving && member.vm.sameIncarnation(m_options.self)))
            addresses.push_back(member.vm.address);
    }
    return addresses;
}

void claim_runner::sendClaim(const job_key& key, attempt& current, const input_time& at, outputs& out) const
{
    const std::vector<std::string> addresses = candidates(key, at);
    current.nextSend = at.now + (addresses.empty() ? unknownViewRetryInterval : claimResendInterval);
    if (addresses.empty())
        return;
    const std::string& address = addresses[current.tries++ % addresses.size()];
    // Later tries are marked as forwarded, so that their receivers don't forward them to an owner that may not reply.
    const bool forwarded = current.tries > 1;
    out.messages.push_back({ address, claim_call { key, { current.ref, current.contentDigest }, current.givenUp, forwarded } });
}

void claim_runner::sendStatus(const job_key& key, attempt& current, const input_time& at, outputs& out) const
{
    current.nextSend = at.now + statusResendInterval;
    out.messages.push_back({ current.followedAttempt.runner.address, status_call { key, current.followedAttempt, current.ref } });
}

void claim_runner::follow(const job_key& key, attempt& current, const claim_record& holder, const input_time& at, outputs& out)
{
    current.givenUp.push_back(current.ref);
    // This VM makes a new attempt only after its earlier ones were given up, so the holder's attempt is given up, too.
    if (holder.holder.runner.sameIncarnation(m_options.self)) {
        current.givenUp.push_back(holder.holder);
        retryClaim(key, current, at, out);
        return;
    }
    current.ref.number = m_nextNumber++;
    current.state = attempt_state::following;
    current.followedAttempt = holder.holder;
    current.lastReplyAt = at.now;
    sendStatus(key, current, at, out);
    current.nextSend = at.now + firstStatusResendInterval;
}

void claim_runner::retryClaim(const job_key& key, attempt& current, const input_time& at, outputs& out)
{
    current.ref.number = m_nextNumber++;
    current.state = attempt_state::claiming;
    current.tries = 0;
    sendClaim(key, current, at, out);
}

void claim_runner::fail(const job_key& key, const error& problem, outputs& out)
{
    auto node = m_attempts.extract(key);
    m_open.erase(key);
    for (const auto token : node.mapped().waiting)
        out.decisions.push_back({ token, tl::unexpected<error>(problem) });
}

void claim_runner::resolve(const attempt& current, const job_answer& answer, outputs& out) const
{
    for (const auto token : current.waiting)
        out.decisions.push_back({ token, claim_decision { answer, 0 } });
}

void claim_runner::notifyFollowers(const attempt& current, attempt_status status, const std::string& answer, outputs& out) const
{
    for (const auto& call : current.followers)
        out.messages.push_back(
            { call.requester.runner.address, status_reply { call.key, call.holder, call.requester, status, answer } });
}

void claim_runner::handle(const claim_reply& reply, const input_time& at, outputs& out)
{
    const auto found = m_attempts.find(reply.key);
    if (found == m_attempts.end())
        return;
    attempt& current = found->second;
    if (!current.ref.sameAttempt(reply.attempt) || current.state != attempt_state::claiming)
        return;
    if (reply.status == claim_status::indeterminate) {
        fail(reply.key,
            { error_kind::claim_owner_lost,
                "an earlier claim on this job id can't be ruled out: the VMs that may hold it have restarted or don't reply",
                std::nullopt },
            out);
        return;
    }
    if (reply.status == claim_status::held) {
        if (reply.holder && reply.holder->contentDigest != current.contentDigest)
            fail(reply.key, { error_kind::job_conflict, std::string(contentConflictMessage), std::nullopt }, out);
        else if (reply.holder)
            follow(reply.key, current, *reply.holder, at, out);
        return;
    }
    current.state = attempt_state::granted;
    m_open.erase(reply.key);
    const caller_token first = current.waiting.front();
    current.waiting.erase(current.waiting.begin());
    out.decisions.push_back({ first, claim_decision { std::nullopt, reply.epoch } });
}

status_reply claim_runner::statusOf(const status_call& call) const
{
    status_reply reply { call.key, call.holder, call.requester, attempt_status::given_up, {} };
    if (!call.holder.runner.sameIncarnation(m_options.self)) {
        reply.status = attempt_status::lost;
        return reply;
    }
    const auto ended = m_ended.find(call.key);
    if (ended && ended->holder.sameAttempt(call.holder)) {
        const auto kept = m_answers.find(call.key);
        reply.status = kept == m_answers.end() ? attempt_status::answer_dropped : attempt_status::answered;
        if (kept != m_answers.end())
            reply.answer = m_codec.encode(kept->second.answer);
        return reply;
    }
    const auto found = m_attempts.find(call.key);
    if (found == m_attempts.end() || !found->second.ref.sameAttempt(call.holder))
        return reply;
    if (found->second.state == attempt_state::claiming && m_options.guards.reportOnlyFinalGiveUp)
        reply.status = attempt_status::undecided;
    else if (found->second.state == attempt_state::granted)
        reply.status = attempt_status::running;
    return reply;
}

void claim_runner::handle(const status_call& call, outputs& out)
{
    status_reply reply = statusOf(call);
    if (reply.status == attempt_status::running) {
        auto& followers = m_attempts.at(call.key).followers;
        const bool known = std::any_of(followers.begin(), followers.end(),
            [&call](const status_call& other) { return other.requester.sameAttempt(call.requester); });
        if (!known)
            followers.push_back(call);
    }
    out.messages.push_back({ call.requester.runner.address, std::move(reply) });
}

void claim_runner::handle(const status_reply& reply, const input_time& at, outputs& out)
{
    const auto found = m_attempts.find(reply.key);
    if (found == m_attempts.end() || found->second.state != attempt_state::following
        || !found->second.ref.sameAttempt(reply.requester) || !found->second.followedAttempt.sameAttempt(reply.holder))
        return;
    attempt& current = found->second;
    current.lastReplyAt = at.now;
    switch (reply.status) {
    case attempt_status::given_up:
        current.givenUp.push_back(current.followedAttempt);
        retryClaim(reply.key, current, at, out);
        return;
    case attempt_status::undecided:
        current.nextSend = at.now + undecidedRetryInterval;
        return;
    case attempt_status::running:
        current.nextSend = at.now + statusResendInterval;
        return;
    case attempt_status::lost:
        fail(reply.key, { error_kind::claim_owner_lost, "the VM that held the claim on this job id has restarted", std::nullopt },
            out);
        return;
    case attempt_status::answer_dropped:
        fail(reply.key, { error_kind::answer_dropped, std::string(answerDroppedMessage), std::nullopt }, out);
        return;
    case attempt_status::answered:
        break;
    }
    const auto answer = m_codec.decode(reply.answer);
    if (!answer) {
        fail(reply.key, { error_kind::internal_error, answer.error().detail, std::nullopt }, out);
        return;
    }
    resolve(current, *answer, out);
    m_open.erase(reply.key);
    m_attempts.erase(found);
}

void claim_runner::finish(const job_answer& answer, outputs& out)
{
    const auto found = m_attempts.find(answer.key);
    if (found == m_attempts.end() || found->second.state != attempt_state::granted)
        return;
    const attempt current = std::move(found->second);
    m_attempts.erase(found);
    m_ended.put(answer.key, { current.ref, current.contentDigest });
    resolve(current, answer, out);
    if (!current.followers.empty())
        notifyFollowers(current, attempt_status::answered, m_codec.encode(answer), out);
    keepAnswer(answer);
}

void claim_runner::keepAnswer(const job_answer& answer)
{
    std::size_t bytes = sizeof(kept_answer) + answer.key.name.size();
    for (const auto& report : answer.tasks)
        bytes += sizeof(report) + report.output.size();
    m_answers.insert_or_assign(answer.key, kept_answer { answer, bytes });
    m_answerOrder.push_back(answer.key);
    m_answerBytes += bytes;
    while (m_answerBytes > m_options.maxAnswerBytes) {
        const auto oldest = m_answers.find(m_answerOrder.front());
        m_answerOrder.pop_front();
        m_answerBytes -= oldest->second.bytes;
        m_answers.erase(oldest);
    }
}

void claim_runner::release(const job_answer& answer, outputs& out)
{
    const auto found = m_attempts.find(answer.key);
    if (found == m_attempts.end() || found->second.state != attempt_state::granted)
        return;
    const attempt current = std::move(found->second);
    m_attempts.erase(found);
    resolve(current, answer, out);
    // Followers claim the key themselves instead of passing on the refusal: another VM may start the job before a refusal
    // reaches them.
    notifyFollowers(current, attempt_status::given_up, {}, out);
    if (!m_views.newest())
        return;
    for (const auto& member : m_views.newest()->members)
        out.messages.push_back({ member.vm.address, release_call { answer.key, current.ref } });
}

void claim_runner::eraseExpired(const input_time& at)
{
    const wall_time oldest = at.wall - m_options.resubmissionWindow - 3 * m_options.maxVmClockError;
    m_ended.eraseIssuedBefore(oldest);
    std::erase_if(m_answerOrder, [this, oldest](const job_key& key) {
        if (key.issuedAt >= oldest)
            return false;
        const auto kept = m_answers.find(key);
        m_answerBytes -= kept->second.bytes;
        m_answers.erase(kept);
        return true;
    });
}

void claim_runner::tick(const input_time& at, outputs& out)
{
    const std::vector<job_key> openKeys(m_open.begin(), m_open.end());
    for (const auto& key : openKeys) {
        attempt& current = m_attempts.at(key);
        if (current.state == attempt_state::claiming && at.now >= current.deadline) {
            fail(key,
                { error_kind::home_unreachable,
                    "the claim on this job id was not decided in time: no quorum of its home domain's VMs replied",
                    unreachableRetryDelay },
                out);
        } else if (current.state == attempt_state::following && at.now >= current.lastReplyAt + m_options.holderTimeout) {
            fail(key, { error_kind::claim_owner_lost, "the VM that holds the claim on this job id does not reply", std::nullopt },
                out);
        } else if (at.now >= current.nextSend) {
            if (current.state == attempt_state::claiming)
                sendClaim(key, current, at, out);
            else
                sendStatus(key, current, at, out);
        }
    }
    if (at.now < m_nextSweep)
        return;
    m_nextSweep = at.now + sweepInterval;
    eraseExpired(at);
}

} // namespace coriandermount::claims
