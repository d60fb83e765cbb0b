/// Checks of what callers and workers of a fleet have seen.
#pragma once

#include <boost/test/unit_test.hpp>

#include "tests/fakes/cell_fleet.h"

namespace coriandermount::fakes {

/// Reports every task that ran twice at a time.
inline void expectNoViolation(const cell_fleet& fleet)
{
    for (const auto& violation : fleet.workers.violations())
        BOOST_ERROR(violation);
}

} // namespace coriandermount::fakes
