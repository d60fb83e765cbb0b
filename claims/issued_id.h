/// Job ids that the dispatcher issues: their text names the home, so that they never move.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"

namespace coriandermount::claims {

/// Parts of an issued id. The text is `i:DOMAIN:VIEW:VM:INCARNATION:NUMBER`; view 0 stands for an id that only the VM that
/// issued it claims.
struct issued_id {
    failure_domain_id domain;
    /// Oldest claim view that may hold a claim on the id.
    std::uint64_t view = 0;
    vm_id vm;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    bool isIssuerOnly() const { return view == 0; }

    friend bool operator==(const issued_id&, const issued_id&) = default;
};

std::string formatIssuedId(const issued_id& id);

/// Reads an issued id; nothing for a name that the caller chose.
std::optional<issued_id> parseIssuedId(std::string_view name);

} // namespace coriandermount::claims
