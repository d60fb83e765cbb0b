/// Parses job keys in request paths.
#pragma once

#include <string_view>

#include "core/error.h"
#include "core/types.h"

namespace coriandermount::front {

/// Parses the job key in `PREFIX/CUSTOMER/JOB/ISSUED_AT_MS`; further path segments are ignored. The length of `prefix` is skipped
/// without a comparison. Fails with `malformed_request`.
result<job_key> keyFromPath(std::string_view path, std::string_view prefix);

} // namespace coriandermount::front
