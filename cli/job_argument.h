/// A job's key on the command line.
#pragma once

#include <cxxopts.hpp>

#include "core/error.h"
#include "core/types.h"

namespace coriandermount::cli {

/// Declares the positional words `CUSTOMER/JOB/ISSUED_AT_MS`, also as three words.
void declareJobArgument(cxxopts::Options& options);

/// Returns `CUSTOMER/JOB/ISSUED_AT_MS`; fails with `malformed_request`.
result<std::string> jobPathOf(const cxxopts::ParseResult& parsedOptions);

} // namespace coriandermount::cli
