/// Stored forms of VMs and owners.
#pragma once

#include <string>

#include "cells/ownership.h"
#include "jobs/record_store.h"

namespace coriandermount::cells {

/// Key of the record that names the owner of the cell.
inline constexpr std::string_view ownerRecordKey = "owner";
/// Key of the owner's sign of life.
inline constexpr std::string_view aliveRecordKey = "alive";

std::string encodeOwnerRecord(const owner_record& record);
result<owner_record> decodeOwnerRecord(const std::string& value);

std::string encodeAlive(std::uint64_t epoch);
result<std::uint64_t> decodeAlive(const std::string& value);

} // namespace coriandermount::cells
