#include "claims/claim_core.h"

#include "claims/claim_coordinator.h"

namespace coriandermount::claims {

struct claim_core::data {
    claim_core_options options;
    view_tracker views;
    claim_coordinator coordinator;
    claim_runner runner;
    std::uint64_t nextId = 1;

    data(claim_core_options givenOptions, answer_codec codec)
        : options(std::move(givenOptions))
        , views(options)
        , coordinator(options, views)
        , runner(options, views, std::move(codec))
    {
    }

    void dispatch(const message& received, const input_time& at, outputs& out);
    outputs deliverLocalMessages(outputs out, const input_time& at);
};

void claim_core::data::dispatch(const message& received, const input_time& at, outputs& out)
{
    if (const auto* heartbeat = std::get_if<view_heartbeat>(&received))
        views.handle(*heartbeat, at, out);
    else if (const auto* claimCall = std::get_if<claim_call>(&received))
        coordinator.handle(*claimCall, at, out);
    else if (const auto* claimReply = std::get_if<claim_reply>(&received))
        runner.handle(*claimReply, at, out);
    else if (const auto* voteCall = std::get_if<vote_call>(&received))
        coordinator.handle(*voteCall, at, out);
    else if (const auto* voteReply = std::get_if<vote_reply>(&received))
        coordinator.handle(*voteReply, at, out);
    else if (const auto* lookupCall = std::get_if<lookup_call>(&received))
        coordinator.handle(*lookupCall, at, out);
    else if (const auto* lookupReply = std::get_if<lookup_reply>(&received))
        coordinator.handle(*lookupReply, at, out);
    else if (const auto* releaseCall = std::get_if<release_call>(&received))
        coordinator.handle(*releaseCall);
    else if (const auto* statusCall = std::get_if<status_call>(&received))
        runner.handle(*statusCall, out);
    else
        runner.handle(std::get<status_reply>(received), at, out);
}

/// Processes the messages that this VM sends to itself until none is left, and returns the remaining actions.
outputs claim_core::data::deliverLocalMessages(outputs out, const input_time& at)
{
    while (true) {
        const auto own = std::stable_partition(out.messages.begin(), out.messages.end(),
            [this](const outgoing_message& entry) { return entry.address != options.self.address; });
        if (own == out.messages.end())
            return out;
        std::vector<outgoing_message> localMessages(std::make_move_iterator(own), std::make_move_iterator(out.messages.end()));
        out.messages.erase(own, out.messages.end());
        for (const auto& entry : localMessages)
            dispatch(entry.body, at, out);
    }
}

claim_core::claim_core(claim_core_options options, answer_codec codec)
    : m_data(std::make_unique<data>(std::move(options), std::move(codec)))
{
}

claim_core::~claim_core() = default;

outputs claim_core::submit(const claim_request& request, caller_token token, const input_time& at)
{
    outputs out;
    m_data->runner.submit(request, token, at, out);
    return m_data->deliverLocalMessages(std::move(out), at);
}

outputs claim_core::awaitAnswer(const job_key& key, caller_token token, const input_time&)
{
    outputs out;
    m_data->runner.awaitAnswer(key, token, out);
    return out;
}

outputs claim_core::finish(const job_answer& answer, const input_time& at)
{
    outputs out;
    m_data->runner.finish(answer, out);
    return m_data->deliverLocalMessages(std::move(out), at);
}

outputs claim_core::release(const job_answer& answer, const input_time& at)
{
    outputs out;
    m_data->runner.release(answer, out);
    return m_data->deliverLocalMessages(std::move(out), at);
}

outputs claim_core::receive(const message& received, const input_time& at)
{
    outputs out;
    m_data->dispatch(received, at, out);
    return m_data->deliverLocalMessages(std::move(out), at);
}

outputs claim_core::applyLogRecords(const std::vector<claim_view>& views, bool complete, time_point sentAt, const input_time& at)
{
    m_data->views.applyLogRecords(views, complete, sentAt, at);
    return tick(at);
}

outputs claim_core::tick(const input_time& at)
{
    outputs out;
    m_data->views.tick(at, out);
    m_data->coordinator.tick(at, out);
    m_data->runner.tick(at, out);
    return m_data->deliverLocalMessages(std::move(out), at);
}

void claim_core::setFleet(fleet_contacts contacts)
{
    std::vector<failure_domain_id> domains { m_data->options.domain };
    for (const auto& contact : contacts.otherDomains)
        domains.push_back(contact.domain);
    m_data->coordinator.setDomains(std::move(domains));
    m_data->views.setPeers(std::move(contacts.ownDomain));
    m_data->runner.setContacts(std::move(contacts.otherDomains));
}

std::string claim_core::issueId(const input_time& at)
{
    issued_id id;
    id.domain = m_data->options.domain;
    id.view = m_data->views.serving(at) ? m_data->views.activatedView() : 0;
    id.vm = m_data->options.self.id;
    id.incarnation = m_data->options.self.incarnation;
    id.number = m_data->nextId++;
    return formatIssuedId(id);
}

bool claim_core::serving(const input_time& at) const { return m_data->views.serving(at); }

const claim_view* claim_core::newestView() const { return m_data->views.newest(); }

std::size_t claim_core::records() const { return m_data->coordinator.records(); }

std::size_t claim_core::answerBytes() const { return m_data->runner.answerBytes(); }

} // namespace coriandermount::claims
