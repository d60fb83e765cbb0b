/// Encoding of the stored records of cell ownership.
#pragma once

#include <string>

#include "cells/ownership.h"
#include "jobs/record_store.h"

namespace coriandermount::cells {

/// Key of the record that names the owner of the cell.
inline constexpr std::string_view ownerRecordKey = "owner";
/// Key of the owner's liveness record.
inline constexpr std::string_view livenessRecordKey = "alive";

/// Returns the stored form of an owner record.
std::string encodeOwnerRecord(const owner_record& record);
/// Returns the owner record in `value`, or `malformed_request` if it cannot be decoded.
result<owner_record> decodeOwnerRecord(const std::string& value);

/// Returns the stored form of the liveness record of the owner of `epoch`.
std::string encodeLiveness(std::uint64_t epoch);
/// Returns the epoch of a liveness record, or `malformed_request` if it cannot be decoded.
result<std::uint64_t> decodeLiveness(const std::string& value);

} // namespace coriandermount::cells
