/// Coordinates claims on job keys and records the votes of this VM.
#pragma once

#include <set>
#include <unordered_map>

#include "claims/issued_id.h"
#include "claims/record_table.h"
#include "claims/view_tracker.h"

namespace coriandermount::claims {

/// Part of the claim state machine that acts for the home failure domain of a key: collects the votes of a quorum and the
/// records of closed views, and votes itself. Not thread-safe; the options and the view tracker must outlive it.
class claim_coordinator {
public:
    claim_coordinator(const claim_core_options& options, const view_tracker& views);

    /// Starts a round for a claim, or forwards the claim to the owner of its key when this VM can't decide on the claim.
    /// Replaces the failure domains that this VM knows, its own among them.
    void setDomains(std::vector<failure_domain_id> domains) { m_domains = std::move(domains); }

    void handle(const claim_call& call, const input_time& at, outputs& out);
    void handle(const vote_call& call, const input_time& at, outputs& out);
    void handle(const vote_reply& reply, const input_time& at, outputs& out);
    void handle(const lookup_call& call, const input_time& at, outputs& out);
    void handle(const lookup_reply& reply, const input_time& at, outputs& out);
    void handle(const release_call& call);
    /// Sends calls again, ends rounds that timed out, and erases expired records.
    void tick(const input_time& at, outputs& out);

    /// Returns the number of recorded votes.
    std::size_t records() const { return m_records.size(); }
    /// Returns the number of claims that are being coordinated.
    std::size_t rounds() const { return m_rounds.size(); }

private:
    /// Coordination of one claim until a quorum has voted for it.
    struct round {
        claim_call call;
        std::uint64_t view = 0;
        std::set<vm_id> votes;
        /// Members of each closed view that reported no other claim.
        std::map<std::uint64_t, std::set<vm_id>> readers;
        time_point startedAt {};
        time_point nextSend {};
    };

    void handleIssuerOnly(const claim_call& call, const issued_id& id, outputs& out);
    void coordinate(const claim_call& call, const input_time& at, outputs& out);
    void forward(const claim_call& call, const input_time& at, outputs& out) const;
    const view_member* ownerOf(const job_key& key, const input_time& at) const;
    bool castOwnVote(round& current);
    vote_call voteCallOf(const round& current) const;
    void sendVotes(const round& current, bool toAll, const input_time& at, outputs& out) const;
    void sendLookups(const round& current, outputs& out) const;
    bool addClosedViewReaders(round& current) const;
    bool canReadClosedViews(const round& current, const input_time& at) const;
    void grantIfComplete(const job_key& key, outputs& out);
    void endRound(const job_key& key, claim_status status, const std::optional<claim_record>& holder, outputs& out);
    /// Returns whether the issue time of a key allows a claim, and this failure domain is the home of the key. The sender of a
    /// claim may know fewer domains than this VM.
    bool accepts(const job_key& key, wall_time wall) const;
    void reply(const claim_call& call, claim_status status, std::uint64_t epoch, const std::optional<claim_record>& holder,
        outputs& out) const;

    const claim_core_options& m_options;
    const view_tracker& m_views;
    std::vector<failure_domain_id> m_domains;
    record_table m_records;
    std::unordered_map<job_key, round> m_rounds;
    time_point m_nextSweep {};
};

} // namespace coriandermount::claims
