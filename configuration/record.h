/// Records of the `configuration` stream of the platform's log.
#pragma once

#include <optional>
#include <string>

#include "configuration/diff.h"

namespace coriandermount::configuration {

/// One record: a full record holds all lists, any other record only the changes to the lists of the version that it is based on.
struct record {
    std::string recordId;
    std::string author;
    std::string reason;
    wall_time publishedAt {};
    std::uint64_t basedOn = 0;
    /// Version of the accepted record that this record repeats, so that the configuration survives the log's retention. Set only
    /// in such copies, which are always full records.
    std::optional<std::uint64_t> acceptedVersion;
    /// Changes to the base version; empty in a full record.
    std::optional<change_set> changes;
    std::map<customer_id, plan_id> customers;
    std::map<plan_id, plan_limits> plans;

    friend bool operator==(const record&, const record&) = default;
};

/// Returns the record that publishes `candidate` while `current` is in force. It is a full record when no configuration is in
/// force or when more than half as many entries change as `candidate` has.
record makeRecord(const snapshot& candidate, const snapshot& current);

/// Returns the full record that repeats `accepted` in the log.
record makeCopy(const snapshot& accepted);

/// Encodes a record as JSON.
std::string encodeRecord(const record& value);

/// Decodes a record. Fails with `configuration_invalid` when the text is not a valid record.
result<record> decodeRecord(const std::string& text);

/// Returns the configuration that results from `value` while `current` is in force; the caller sets its version. Fails with
/// `configuration_invalid` when the result violates a rule.
result<snapshot> applyRecord(const record& value, const snapshot& current);

} // namespace coriandermount::configuration
