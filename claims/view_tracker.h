/// Tracks the claim views of this VM's failure domain and proposes new ones.
#pragma once

#include <map>

#include "claims/options.h"

namespace coriandermount::claims {

/// Address of an entry VM of this VM's failure domain.
struct peer_address {
    vm_id id;
    std::string address;
    /// Whether the VM is shutting down; a leaving VM is not proposed as a member.
    bool leaving = false;
};

/// Part of the claim state machine that knows the views, the live VMs, and the view that this VM may vote in. Not
/// thread-safe; the options must outlive it.
class view_tracker {
public:
    explicit view_tracker(const claim_core_options& options);

    /// Replaces the addresses of the VMs of this failure domain.
    void setPeers(std::vector<peer_address> peers) { m_peers = std::move(peers); }

    /// Adds the views of a log read that was sent at `sentAt`. `complete` says that the log has lost no earlier record.
    void applyLogRecords(const std::vector<claim_view>& views, bool complete, time_point sentAt, const input_time& at);
    /// Processes a heartbeat of another VM.
    void handle(const view_heartbeat& received, const input_time& at, outputs& out);
    /// Sends heartbeats, requests log reads, and proposes a new view when the set of live VMs has changed.
    void tick(const input_time& at, outputs& out);

    /// Returns the newest known view; null when none is known.
    const claim_view* newest() const;
    /// Returns whether this VM may coordinate claims and vote in the newest view.
    bool serving(const input_time& at) const;
    /// Returns whether this VM may vote in view `number`.
    bool votesIn(std::uint64_t number, const input_time& at) const;
    /// Returns whether this VM has stopped voting in view `number` for good.
    bool hasStoppedVotingIn(std::uint64_t number) const { return number < m_promisedView; }
    /// Returns the closed views that may hold a claim on a key. Returns nothing when an unknown view may hold one.
    std::optional<std::vector<const claim_view*>> closedViewsThatMayHold(const job_key& key) const;

    /// Returns whether a heartbeat of that incarnation of a VM was received within the member timeout; true for this VM.
    bool alive(const vm_ref& vm, time_point now) const;
    /// Returns whether a newer incarnation of the VM is known.
    bool isSuperseded(const vm_ref& vm) const;
    /// Returns the address of a VM of this failure domain; empty when it is not known.
    std::string addressOf(const vm_id& vm) const;
    /// Returns the number of the view that this VM votes in; 0 if there is none.
    std::uint64_t activatedView() const { return m_activatedView; }

private:
    struct peer_state {
        vm_ref vm;
        std::string rack;
        std::uint64_t promisedView = 0;
        std::uint64_t activatedView = 0;
        time_point lastHeartbeatAt {};
    };

    bool addView(const claim_view& view);
    void activateIfClosed(const input_time& at);
    bool isClosed(const claim_view& view, const claim_view* successor, const input_time& at) const;
    void propose(const input_time& at, outputs& out);
    std::vector<view_member> aliveMembers(time_point now) const;
    bool canBeClosedBy(const claim_view& view, const std::vector<view_member>& members) const;
    view_heartbeat buildHeartbeat(bool wantsReply, std::uint64_t peerPromisedView) const;
    bool logLeaseHeld(time_point now) const { return m_logReadAt && now < *m_logReadAt + m_options.viewLease; }
    void eraseOldViews(const input_time& at);

    const claim_core_options& m_options;
    std::vector<peer_address> m_peers;
    std::map<vm_id, peer_state> m_states;
    std::map<std::uint64_t, claim_view> m_views;
    /// Latest wall time by which each closed view was closed.
    std::map<std::uint64_t, wall_time> m_closedBy;
    std::uint64_t m_promisedView = 0;
    std::uint64_t m_activatedView = 0;
    /// Whether the oldest known view is the first one of the failure domain.
    bool m_historyComplete = false;
    /// Time at which the last successful log read was sent.
    std::optional<time_point> m_logReadAt;
    time_point m_nextHeartbeat {};
    time_point m_nextLogRead {};
    time_point m_nextReview {};
    time_point m_nextAppend {};
    time_point m_nextRepublish {};
    /// Time of the last log read that returned a record of the domain, or of the first read.
    time_point m_recordSeenAt {};
    /// Live VMs at the last review.
    std::vector<vm_id> m_liveMembers;
    /// Time of the last change of `m_liveMembers`.
    time_point m_liveMembersSince {};
};

} // namespace coriandermount::claims
