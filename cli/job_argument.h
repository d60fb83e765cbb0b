/// Parses the key of a job on the command line.
#pragma once

#include <cxxopts.hpp>

#include "core/error.h"
#include "core/types.h"

namespace coriandermount::cli {

/// Declares the positional argument `CUSTOMER/JOB/ISSUED_AT_MS`, which may also be given as three arguments.
void declareJobArgument(cxxopts::Options& options);

/// Returns the key as `CUSTOMER/JOB/ISSUED_AT_MS`. Fails with `malformed_request` if it is missing or invalid.
result<std::string> jobPathOf(const cxxopts::ParseResult& parsedOptions);

} // namespace coriandermount::cli
