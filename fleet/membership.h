/// Membership protocol of one VM as a deterministic state machine: no threads, no clock, no sockets.
///
/// Every VM probes the members of its failure domain in turn and spreads what changed with these probes. A member that answers
/// neither directly nor through others is suspected, and declared dead only after a time that depends on what the platform's
/// list says. Failure domains tell each other summaries only.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "fleet/gossip_message.h"
#include "platform/vm_list.h"

namespace coriandermount::fleet {

struct membership_options {
    vm_id id;
    failure_domain_id domain;
    std::string rack;
    std::string peerAddress;
    /// Start time of this VM.
    wall_time startedAt {};
    /// Addresses of peers to ask at start.
    std::vector<std::string> seeds;
    /// All failure domains, as far as the settings list them.
    std::vector<failure_domain_id> domains;
    /// Seed of the random choices of members.
    std::uint64_t randomSeed = 0;

    std::chrono::milliseconds probeInterval { 1000 };
    std::chrono::milliseconds probeTimeout { 500 };
    /// Longest wait for a probe that others relay.
    std::chrono::milliseconds relayTimeout { 1000 };
    /// Time between two exchanges with other failure domains.
    std::chrono::milliseconds domainInterval { 2500 };
    /// Time between two records that this VM writes about its own domain.
    std::chrono::milliseconds summaryInterval { 5000 };
    /// How long a domain counts as reachable after news of it.
    std::chrono::milliseconds reachableTimeout { 20000 };
    /// How long a suspected member that the platform's list no longer shows is kept.
    std::chrono::milliseconds deadAfterUnlisted { 5000 };
    /// How long a suspected member is kept that the list still shows, or when there is no list.
    std::chrono::milliseconds deadAfter { 60000 };
    /// How long a dead member is remembered.
    std::chrono::milliseconds removeDeadAfter { 600000 };
    /// Largest age of the platform's list; a younger VM is not taken for leaving on the list's word.
    std::chrono::milliseconds listLag { 10000 };
    /// Longest time between two ticks of a VM that was not paused.
    std::chrono::milliseconds maxTickGap { 2000 };
    /// How long a VM waits for peers or the list before it goes on alone.
    std::chrono::milliseconds joinTimeout { 1500 };
};

/// Number of a call that this VM made to a peer.
enum class call_id : std::uint64_t {};
/// Number of a request of a peer that this VM replies to.
enum class request_id : std::uint64_t {};

struct ticked { };

struct request_received {
    request_id request {};
    gossip_message message;
};

/// The end of a call; without a reply when the peer did not answer.
struct call_ended {
    call_id call {};
    std::optional<gossip_message> reply;
};

/// The platform's list was read; entry VMs only.
struct listing_read {
    std::vector<entry_vm_info> entryVms;
};

/// This VM takes no new work from now on.
struct leave_requested { };

/// An operator takes a member of this domain out of service.
struct member_drain_requested {
    vm_id vm;
};

/// Workers were seen leaving by this VM.
struct leaving_workers_listed {
    std::vector<leaving_worker> workers;
};

/// What this VM contributes to its domain's summary.
struct load_reported {
    std::uint32_t liveWorkers = 0;
    std::uint32_t totalSlots = 0;
    std::uint32_t usedSlots = 0;
};

struct configuration_updated {
    configuration_revision revision;
};

using membership_event = std::variant<ticked, request_received, call_ended, listing_read, leave_requested, member_drain_requested,
    leaving_workers_listed, load_reported, configuration_updated>;

struct send_call {
    call_id call {};
    std::string address;
    std::chrono::milliseconds timeout { 0 };
    gossip_message message;
};

struct send_reply {
    request_id request {};
    gossip_message message;
};

/// A member of this domain changed its state.
struct member_changed {
    vm_id vm;
    member_state from = member_state::dead;
    member_state to = member_state::alive;
};

/// Workers were heard to leave.
struct leaving_workers_received {
    std::vector<leaving_worker> workers;
};

/// A peer has another configuration than this VM.
struct configuration_mismatch {
    configuration_revision revision;
    std::string peerAddress;
};

/// A peer or the list took this VM out of service.
struct marked_leaving { };

using membership_action
    = std::variant<send_call, send_reply, member_changed, leaving_workers_received, configuration_mismatch, marked_leaving>;
using membership_actions = std::vector<membership_action>;

class membership {
public:
    membership(membership_options options, time_point now);
    ~membership();

    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;

    /// Handles one event; `wallNow` is the time of this VM's wall clock at `now`.
    membership_actions handle(const membership_event& event, time_point now, wall_time wallNow);

    /// Returns the fleet as this VM sees it.
    fleet_view view(time_point now) const;

    /// Whether this VM has heard from the members that it knows of, or has waited long enough.
    bool joined() const;

    /// Whether a member has not acknowledged urgent news yet.
    bool hasPendingPushes() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::fleet
