/// Follows the claim views of the own failure domain and moves to the next one.
#pragma once

#include <map>

#include "claims/options.h"

namespace coriandermount::claims {

/// Where another entry VM of the own domain is reached.
struct peer_address {
    vm_id id;
    std::string address;
    bool leaving = false;
};

/// Part of the claim state machine: knows the views, who is alive, and in which view this VM may vote.
class view_tracker {
public:
    explicit view_tracker(const claim_core_options& options);

    void setPeers(std::vector<peer_address> peers) { m_peers = std::move(peers); }

    /// Takes in the records of a read that was sent at `sentAt`; `complete` says that none are missing before them.
    void applyLogRecords(const std::vector<claim_view>& views, bool complete, time_point sentAt, const input_time& at);
    void handle(const hello& received, const input_time& at, outputs& out);
    void tick(const input_time& at, outputs& out);

    /// The newest view; null before any is known.
    const claim_view* newest() const;
    /// Whether this VM may coordinate and vote in the newest view.
    bool serving(const input_time& at) const;
    /// Whether this VM may vote in view `number`.
    bool votesIn(std::uint64_t number, const input_time& at) const;
    /// Whether this VM will never again vote in view `number`.
    bool hasStoppedVotingIn(std::uint64_t number) const { return number < m_promisedView; }
    /// Closed views that may hold a claim on a key; nothing when one of these is not known any more.
    std::optional<std::vector<const claim_view*>> closedViewsThatMayHold(const job_key& key) const;

    bool alive(const vm_ref& vm, time_point now) const;
    /// Whether that start of the VM has ended for certain.
    bool isSuperseded(const vm_ref& vm) const;
    /// Address of a VM of the own domain; empty when not known.
    std::string addressOf(const vm_id& vm) const;
    std::uint64_t activatedView() const { return m_activatedView; }

private:
    struct peer_state {
        vm_ref vm;
        std::string rack;
        std::uint64_t promisedView = 0;
        std::uint64_t activatedView = 0;
        time_point lastHeard {};
    };

    bool learn(const claim_view& view);
    void activateIfClosed(const input_time& at);
    bool isClosed(const claim_view& view, const claim_view* successor, const input_time& at) const;
    void propose(const input_time& at, outputs& out);
    std::vector<view_member> aliveMembers(time_point now) const;
    bool mayBeClosedBy(const claim_view& view, const std::vector<view_member>& members) const;
    hello ownHello(bool wantsReply, std::uint64_t peerKnows) const;
    bool logLeaseHeld(time_point now) const { return m_logReadAt && now < *m_logReadAt + m_options.viewLease; }
    void forgetOldViews(const input_time& at);

    const claim_core_options& m_options;
    std::vector<peer_address> m_peers;
    std::map<vm_id, peer_state> m_states;
    std::map<std::uint64_t, claim_view> m_views;
    /// By which wall time a view was closed, at the latest.
    std::map<std::uint64_t, wall_time> m_closedBy;
    std::uint64_t m_promisedView = 0;
    std::uint64_t m_activatedView = 0;
    /// Whether the oldest known view is the first of all.
    bool m_historyComplete = false;
    std::optional<time_point> m_logReadAt;
    time_point m_nextHello {};
    time_point m_nextLogRead {};
    time_point m_nextReview {};
    time_point m_nextAppend {};
    time_point m_nextRepublish {};
    /// When the log last showed a record of the domain, or was first read.
    time_point m_recordSeenAt {};
    std::vector<vm_id> m_wanted;
    time_point m_wantedSince {};
};

} // namespace coriandermount::claims
