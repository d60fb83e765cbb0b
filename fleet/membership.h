/// Membership protocol of one VM as a deterministic state machine without threads, clock or sockets.
///
/// The protocol follows SWIM. Every VM probes the members of its failure domain in turn, and the probes carry recent changes. A
/// member that replies neither directly nor through relays is suspected, and is declared dead after a timeout that depends on the
/// platform's list. Failure domains exchange summaries only.
#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "fleet/gossip_message.h"
#include "platform/vm_list.h"

namespace coriandermount::fleet {

/// Identity of this VM and timing of the protocol.
struct membership_options {
    vm_id id;
    failure_domain_id domain;
    std::string rack;
    /// IP address and port of the peer listener.
    std::string peerAddress;
    /// Start time of this VM, which is its incarnation.
    wall_time startedAt {};
    /// Addresses of the peers that this VM contacts to join.
    std::vector<std::string> seeds;
    /// Failure domains that are listed in the settings.
    std::vector<failure_domain_id> domains;
    /// Seed of the generator that chooses probe order, relays and contacts.
    std::uint64_t randomSeed = 0;

    /// Time between two probes of this VM.
    std::chrono::milliseconds probeInterval { 1000 };
    /// Longest wait for the reply to any call other than a relay request.
    std::chrono::milliseconds probeTimeout { 500 };
    /// Longest wait for a probe that another member relays.
    std::chrono::milliseconds relayTimeout { 1000 };
    /// Time between two exchanges with other failure domains.
    std::chrono::milliseconds domainInterval { 2500 };
    /// Time between two records of its own domain that this VM writes while the contacts don't change.
    std::chrono::milliseconds summaryInterval { 5000 };
    /// Time for which a domain counts as reachable after a message or a newer record of it.
    std::chrono::milliseconds reachableTimeout { 20000 };
    /// Time after which a suspected member is declared dead that the platform's list no longer shows.
    std::chrono::milliseconds deadAfterUnlisted { 5000 };
    /// Time after which a suspected member is declared dead that the list still shows, or while there is no list.
    std::chrono::milliseconds deadAfter { 60000 };
    /// Time after which the record of a dead member is removed.
    std::chrono::milliseconds removeDeadAfter { 600000 };
    /// Largest age that the platform's list can have when it is read. A VM that started more recently is not marked as leaving
    /// because of the list, which may describe its previous incarnation.
    std::chrono::milliseconds listLag { 10000 };
    /// Longest time between two ticks. After a longer gap this VM is taken to have been paused, and open calls are discarded.
    std::chrono::milliseconds maxTickGap { 2000 };
    /// Time after which this VM counts as joined even if no other member was found.
    std::chrono::milliseconds joinTimeout { 1500 };
};

/// Identifies a call of this VM to a peer.
enum class call_id : std::uint64_t {};
/// Identifies a request of a peer that this VM replies to.
enum class request_id : std::uint64_t {};

/// Time has passed. The protocol needs this event regularly, at least every `maxTickGap`.
struct ticked { };

/// A peer sent a request.
struct request_received {
    request_id request {};
    gossip_message message;
};

/// A call ended. `reply` is empty if the peer did not reply in time or its reply was not valid.
struct call_ended {
    call_id call {};
    std::optional<gossip_message> reply;
};

/// The platform's list was read. The event holds the entry VMs of all failure domains.
struct listing_read {
    std::vector<entry_vm_info> entryVms;
};

/// This VM shuts down and accepts no new work.
struct leave_requested { };

/// An operator requested that a member of this domain is taken out of service.
struct member_drain_requested {
    vm_id vm;
};

/// This VM read from the platform's list that workers are leaving.
struct leaving_workers_listed {
    std::vector<leaving_worker> workers;
};

/// Capacity of the workers that this VM knows, and the slots that its own tasks use, for the summary of its domain.
struct load_reported {
    std::uint32_t liveWorkers = 0;
    std::uint32_t totalSlots = 0;
    std::uint32_t usedSlots = 0;
};

/// The configuration of this VM changed.
struct configuration_updated {
    configuration_revision revision;
};

using membership_event = std::variant<ticked, request_received, call_ended, listing_read, leave_requested, member_drain_requested,
    leaving_workers_listed, load_reported, configuration_updated>;

/// Sends a request to a peer. The end of the call has to be reported as `call_ended`.
struct send_call {
    call_id call {};
    std::string address;
    std::chrono::milliseconds timeout { 0 };
    gossip_message message;
};

/// Replies to a request of a peer.
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

/// Other VMs reported workers as leaving that this VM did not know as leaving.
struct leaving_workers_received {
    std::vector<leaving_worker> workers;
};

/// A peer's configuration differs from that of this VM and has the same or a higher version.
struct configuration_mismatch {
    configuration_revision revision;
    std::string peerAddress;
};

/// This VM became leaving. Emitted once, whatever the cause.
struct marked_leaving { };

using membership_action
    = std::variant<send_call, send_reply, member_changed, leaving_workers_received, configuration_mismatch, marked_leaving>;
using membership_actions = std::vector<membership_action>;

/// State machine of the membership protocol. It is not thread-safe; the caller serializes all calls.
class membership {
public:
    /// Creates the protocol of a VM that starts at `now`. Messages are sent only as actions of `handle`.
    membership(membership_options options, time_point now);
    ~membership();

    membership(const membership&) = delete;
    membership& operator=(const membership&) = delete;

    /// Handles one event and returns the actions that the caller has to carry out in this order. `wallNow` is the time of this
    /// VM's wall clock at `now`.
    membership_actions handle(const membership_event& event, time_point now, wall_time wallNow);

    /// Returns the members that are not dead and the summaries of the other domains, as this VM knows them.
    fleet_view view(time_point now) const;

    /// Returns true once this VM knows an alive member, has found that it is the only member, or `joinTimeout` has passed.
    bool joined() const;

    /// Returns true while a push waits for the acknowledgement of a member.
    bool hasPendingPushes() const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::fleet
