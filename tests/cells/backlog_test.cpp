// Checks that the work of an owner does not grow with the number of stored jobs that wait for a start.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include "tests/fakes/cell_fleet.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// Returns how many jobs and workers an owner looks at in a second to forecast starts while `jobs` stored jobs wait.
std::uint64_t forecastVisits(unsigned jobs)
{
    constexpr unsigned workers = 20;
    cell_fleet fleet(1, 2, workers);
    fleet.runFor(2s);
    const std::string owner = fleet.owner(0);
    // The first jobs occupy all workers.
    for (unsigned number = 0; number < jobs + 2 * workers; ++number)
        fleet.store(owner, fmt::format("job{}", number), 1, 60s);
    fleet.runFor(3s);
    const auto before = fleet.counterValues(owner).forecastVisits;
    fleet.runFor(1s);
    return fleet.counterValues(owner).forecastVisits - before;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_backlog_of_stored_jobs)

// Guards against an owner that starts nothing any more because it forecasts the starts of all jobs that wait (issue 70).
BOOST_AUTO_TEST_CASE(costs_the_forecast_of_starts_no_more_when_it_is_ten_times_as_long)
{
    BOOST_TEST(forecastVisits(1000) < 2 * forecastVisits(100));
}

BOOST_AUTO_TEST_SUITE_END()
