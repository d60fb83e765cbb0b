/// Limits of JSON texts from outside, checked before a document is built: one takes many times the memory of its text.
#pragma once

#include <cstddef>
#include <string_view>

namespace coriandermount {

struct json_bounds {
    /// Largest number of arrays and objects that contain each other.
    std::size_t maxDepth = 16;
    /// Largest number of values, of which each member of an array or object is one.
    std::size_t maxValues = 16384;
};

/// Returns whether `text` is within `bounds`. Does not check its syntax; a text that is no JSON may be within any bounds.
bool isWithin(std::string_view text, const json_bounds& bounds);

} // namespace coriandermount
