/// Mutated copies of valid messages, for tests of decoders.
#pragma once

#include <random>
#include <string>

namespace coriandermount::fakes {

/// Returns a copy of a message with one to four random changes: bytes that are flipped, removed, inserted or repeated, a
/// truncated end, and numbers or words of JSON that are replaced by extreme values or by values of other types.
std::string mutated(const std::string& message, std::mt19937& random);

} // namespace coriandermount::fakes
