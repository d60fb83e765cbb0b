/// Follows the log's stream of configurations and publishes to it, as a deterministic state machine: no threads, no sockets.
///
/// A record counts when it is based on the version that is in force where it stands in the log; so of two racing records the
/// first offset wins on every VM. What is in force only ever moves to a newer version (see `isNewer`).
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

struct follower_options {
    std::chrono::milliseconds pollInterval { 1000 };
    /// Age of the newest whole record in the log at which a copy is appended.
    std::chrono::milliseconds copyAfter { 600000 };
    /// Time that VMs of neighbouring rank leave each other to append a copy.
    std::chrono::milliseconds copyRankDelay { 2000 };
    /// How long a record is waited for whose base is not known.
    std::chrono::milliseconds missingBaseTimeout { 15000 };
    /// How long the log gets to bring a version that a peer has.
    std::chrono::milliseconds fetchDelay { 1500 };
    /// How long a publication waits until its record is read back.
    std::chrono::milliseconds publishTimeout { 5000 };
    std::size_t maxReadRecords { 64 };
};

/// What became of one record.
struct history_entry {
    platform::log_offset offset = 0;
    /// Version that the record got; 0 for a record that was skipped.
    std::uint64_t version = 0;
    std::uint64_t basedOn = 0;
    std::string recordId;
    std::string author;
    std::string reason;
    wall_time publishedAt {};
    /// What it changed, in sentences.
    std::vector<std::string> changes;
    /// Why it was skipped.
    std::string problem;

    friend bool operator==(const history_entry&, const history_entry&) = default;
};

/// What a VM hands to a peer that asks for its configuration.
struct peer_state {
    snapshot current;
    platform::log_offset nextOffset = 0;
    /// Offsets of the newest whole record and of the record in force; 0 when not known.
    platform::log_offset fullRecordOffset = 0;
    platform::log_offset currentOffset = 0;
    std::vector<history_entry> history;
};

/// Answer to an operator who publishes.
struct publish_result {
    /// Not set when the record is in force.
    std::optional<error> problem;
    std::string recordId;
    std::uint64_t version = 0;
    /// On success, what the record changes; on conflict, what the winners changed since the version it was based on.
    std::vector<std::string> changes;
    /// On conflict, the configuration that is in force.
    std::optional<history_entry> winner;
};

enum class publication_id : std::uint64_t {};

struct poll_tick {
    /// Place of this VM among those that may append a copy; 0 comes first.
    unsigned copyRank = 0;
};

struct log_read_completed {
    result<platform::log_batch> batch;
};

struct append_completed {
    std::string recordId;
    result<platform::log_offset> offset;
};

/// A peer has told which version it has; version 0 for a peer that knows that there is none.
struct peer_revision_received {
    std::uint64_t version = 0;
    std::uint32_t digest = 0;
    std::string peerAddress;
};

struct peer_fetch_completed {
    std::optional<peer_state> state;
};

struct publish_requested {
    publication_id publication {};
    /// Has its record id and base version set.
    snapshot candidate;
};

using follower_event = std::variant<poll_tick, log_read_completed, append_completed, peer_revision_received, peer_fetch_completed,
    publish_requested>;

struct read_log {
    platform::log_offset from = 0;
    std::size_t limit = 0;
};

struct append_record {
    std::string recordId;
    std::string body;
};

struct fetch_from_peer {
    std::string peerAddress;
};

/// A configuration has come into force.
struct snapshot_adopted {
    std::shared_ptr<const snapshot> current;
    history_entry entry;
};

/// A record was skipped.
struct record_rejected {
    history_entry entry;
};

struct publish_completed {
    publication_id publication {};
    publish_result outcome;
};

using follower_action
    = std::variant<read_log, append_record, fetch_from_peer, snapshot_adopted, record_rejected, publish_completed>;
using follower_actions = std::vector<follower_action>;

class follower {
public:
    explicit follower(follower_options options);
    ~follower();

    follower(const follower&) = delete;
    follower& operator=(const follower&) = delete;

    follower_actions handle(const follower_event& event, time_point now);

    /// Returns the configuration in force; its version is 0 while there is none.
    const std::shared_ptr<const snapshot>& current() const;

    /// Whether a configuration is in force or it is known that there is none.
    bool hasSynced() const;

    /// Hash of the record in force for comparison with peers; 1 when there is none, 0 when nothing is known.
    std::uint32_t digest() const;

    peer_state stateForPeer() const;

    /// Returns what became of the newest records, oldest first.
    const std::deque<history_entry>& history() const;

    /// Returns what became of a record; nothing while that is not known.
    std::optional<history_entry> outcomeOf(const std::string& recordId) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::configuration
