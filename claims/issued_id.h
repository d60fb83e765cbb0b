/// Job ids that the dispatcher issues. Their text names the home failure domain, so that it does not change with the set of
/// failure domains.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"

namespace coriandermount::claims {

/// Fields of an issued id. The text form is `i:DOMAIN:VIEW:VM:INCARNATION:NUMBER`.
struct issued_id {
    failure_domain_id domain;
    /// Oldest claim view that may hold a claim on the id; 0 when only the VM that issued the id decides on its claim.
    std::uint64_t view = 0;
    vm_id vm;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    /// Returns whether only the VM that issued the id decides on its claim.
    bool isIssuerOnly() const { return view == 0; }

    friend bool operator==(const issued_id&, const issued_id&) = default;
};

/// Returns the text form of an issued id.
std::string formatIssuedId(const issued_id& id);

/// Reads the text form of an issued id. Returns nothing for text of another form, which is an id that a caller chose.
std::optional<issued_id> parseIssuedId(std::string_view text);

} // namespace coriandermount::claims
