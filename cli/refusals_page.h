/// Reference page of refusals for operators, generated from the error table and the attribution table.
#pragma once

#include <string>

namespace coriandermount::cli {

/// Returns the content of docs/operations/refusals.md.
std::string refusalsPage();

} // namespace coriandermount::cli
