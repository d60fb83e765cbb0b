/// Deterministic state machine that reads the `configuration` stream of the platform's log and publishes to it. Uses no threads
/// and no sockets.
///
/// A record is accepted when its base is the version in force at the record's place in the log, so that of two concurrent records
/// the one with the lower offset wins on every VM. The configuration in force is only ever replaced by a newer version (see
/// `isNewer`).
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "configuration/configuration.h"
#include "platform/log.h"

namespace coriandermount::configuration {

/// Holds the intervals and limits of a `follower`.
struct follower_options {
    /// Time between two reads of the log.
    std::chrono::milliseconds pollInterval { 1000 };
    /// Age of the newest full record in the log at which a copy is appended.
    std::chrono::milliseconds copyAfter { 600000 };
    /// Delay per rank before a VM appends a copy that is due, so that VMs of lower rank can append it first.
    std::chrono::milliseconds copyRankDelay { 2000 };
    /// Longest wait for the unknown base version of a record before the record is rejected.
    std::chrono::milliseconds missingBaseTimeout { 15000 };
    /// Time for which a newer version of a peer is awaited from the log before it is fetched from the peer.
    std::chrono::milliseconds fetchDelay { 1500 };
    /// Longest time from the end of an append until the record is read back; a longer wait ends with `publish_unknown`.
    std::chrono::milliseconds publishTimeout { 5000 };
    /// Largest number of records in one read of the log.
    std::size_t maxReadRecords { 64 };
};

/// Outcome of one record, accepted or rejected.
struct history_entry {
    platform::log_offset offset = 0;
    /// Version assigned to the record; 0 for a rejected record.
    std::uint64_t version = 0;
    std::uint64_t basedOn = 0;
    std::string recordId;
    std::string author;
    std::string reason;
    wall_time publishedAt {};
    /// Descriptions of the changes that the record made.
    std::vector<std::string> changes;
    /// Reason why the record was rejected; empty for an accepted record.
    std::string problem;

    friend bool operator==(const history_entry&, const history_entry&) = default;
};

/// State that a VM returns to a peer that fetches its configuration.
struct peer_state {
    snapshot current;
    /// Offset of the next record that the VM reads.
    platform::log_offset nextOffset = 0;
    /// Offsets of the newest full record and of the record in force; 0 when not known.
    platform::log_offset fullRecordOffset = 0;
    platform::log_offset currentOffset = 0;
    std::vector<history_entry> history;
};

/// Outcome of a publication.
struct publish_result {
    /// Error of the publication; empty when the record was accepted.
    std::optional<error> problem;
    std::string recordId;
    /// On success, the version of the record; on conflict, the version in force.
    std::uint64_t version = 0;
    /// On success, descriptions of the record's changes; on conflict, of all changes since the base version of the publication.
    std::vector<std::string> changes;
    /// On conflict, the configuration that is in force.
    std::optional<history_entry> winner;
};

/// Identifies a publish request within one VM.
enum class publication_id : std::uint64_t {};

/// Event of the periodic timer: starts reads and copies that are due, and expires publications.
struct poll_tick {
    /// Rank of this VM among those that may append a copy; rank 0 appends first.
    unsigned copyRank = 0;
};

/// Event: a `read_log` action ended.
struct log_read_completed {
    result<platform::log_batch> batch;
};

/// Event: an `append_record` action ended.
struct append_completed {
    std::string recordId;
    result<platform::log_offset> offset;
};

/// Event: a peer reported its version and digest. Version 0 with digest 1 means that the peer knows that no configuration has
/// been published.
struct peer_revision_received {
    std::uint64_t version = 0;
    std::uint32_t digest = 0;
    std::string peerAddress;
};

/// Event: a `fetch_from_peer` action ended.
struct peer_fetch_completed {
    /// State of the peer; empty when the fetch failed.
    std::optional<peer_state> state;
};

/// Event: an operator publishes a configuration.
struct publish_requested {
    publication_id publication {};
    /// Configuration to publish, with record id and base version set.
    snapshot candidate;
    /// Whether an earlier request with this record id, on any VM, may have appended the record.
    bool mayBeInLog = false;
};

using follower_event = std::variant<poll_tick, log_read_completed, append_completed, peer_revision_received, peer_fetch_completed,
    publish_requested>;

/// Action: read at most `limit` records from offset `from` on.
struct read_log {
    platform::log_offset from = 0;
    std::size_t limit = 0;
};

/// Action: append an encoded record to the log.
struct append_record {
    std::string recordId;
    std::string body;
};

/// Action: fetch the `peer_state` of a peer.
struct fetch_from_peer {
    std::string peerAddress;
};

/// Action: report a configuration that came into force.
struct snapshot_adopted {
    std::shared_ptr<const snapshot> current;
    history_entry entry;
};

/// Action: report a record that was rejected.
struct record_rejected {
    history_entry entry;
};

/// Action: return the outcome of a publish request.
struct publish_completed {
    publication_id publication {};
    publish_result outcome;
};

using follower_action
    = std::variant<read_log, append_record, fetch_from_peer, snapshot_adopted, record_rejected, publish_completed>;
using follower_actions = std::vector<follower_action>;

/// Follows the configuration log on one VM. Not thread-safe.
class follower {
public:
    explicit follower(follower_options options);
    ~follower();

    follower(const follower&) = delete;
    follower& operator=(const follower&) = delete;

    /// Processes an event at time `now` and returns the actions that the caller has to perform, in order.
    follower_actions handle(const follower_event& event, time_point now);

    /// Returns the configuration in force; its version is 0 while there is none.
    const std::shared_ptr<const snapshot>& current() const;

    /// Returns whether a configuration is in force or it is known that none has been published.
    bool hasSynced() const;

    /// Returns a hash of the id of the record in force, for comparison with peers; 1 when it is known that no configuration has
    /// been published, 0 while that is not known.
    std::uint32_t digest() const;

    /// Returns the state that a peer gets when it fetches the configuration.
    peer_state stateForPeer() const;

    /// Returns the outcomes of the newest records, oldest first.
    const std::deque<history_entry>& history() const;

    /// Returns the outcome of a record; nothing when the record is not in the history.
    std::optional<history_entry> outcomeOf(const std::string& recordId) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::configuration
