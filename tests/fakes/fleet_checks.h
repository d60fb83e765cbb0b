/// Checks of the task runs that the workers of a fleet have seen.
#pragma once

#include <boost/test/unit_test.hpp>

#include "tests/fakes/cell_fleet.h"

namespace coriandermount::fakes {

/// Reports a test error for every violation: two concurrent runs of one task, or starts above the capacity of a worker.
inline void expectNoViolation(const cell_fleet& fleet)
{
    for (const auto& violation : fleet.workers.violations())
        BOOST_ERROR(violation);
}

} // namespace coriandermount::fakes
