// Tests owners of cells whose jobs wait in more queues than a datagram can list.
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cells/heartbeat.h"
#include "net/datagram_socket.h"
#include "tests/fakes/fleet_checks.h"

using namespace coriandermount;
using namespace coriandermount::cells;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

constexpr unsigned manyQueues = 1500;

std::string queueName(unsigned number) { return fmt::format("render-desk-viewport-material-check-{:04}", number); }

/// Returns the view of the owner of a cell in which jobs wait in `queues` queues.
cell_view viewOfOwner(cell_number cell, unsigned queues)
{
    queue_counts pending;
    for (unsigned number = 0; number < queues; ++number)
        pending.emplace(queueName(number), number + 1);
    cell_load load;
    load.waitByPriority = { 1ms, 2ms };
    load.recordsCurrent = true;
    load.idleCpu = { { "service", 1000 } };
    load.pendingByQueue = std::make_shared<const queue_counts>(std::move(pending));
    return { cell, 7, true, 0ms, std::move(load) };
}

/// Returns the heartbeat of an owner, of a version that lists all queues.
std::string earlierHeartbeat()
{
    using json = nlohmann::json;
    const json load = json::array({ 1, 2 });
    const json view = json::array({ 0, 7, true, 0, load, { { "q", 3 } }, { { "service", 1000 } }, true });
    std::string packed;
    json::to_msgpack(json::array({ "vm", 3, false, true, json::array({ view }), 500, json::array() }), packed);
    return packed;
}

/// Two cells of three VMs. In the first cell, all workers are busy and jobs wait in many queues.
struct many_pending_jobs {
    many_pending_jobs()
    {
        fleet.runFor(2s);
        owner = fleet.owner(0);
        BOOST_REQUIRE(!owner.empty());
        for (unsigned number = 0; number < manyQueues; ++number)
            fleet.storeIn(queueName(number), owner, fmt::format("job{}", number), 60s);
        fleet.runFor(2s);
        fleet.storeIn(waitingQueue, owner, "another", 60s);
        // For up to 3 s, an owner with few new records may not know that it has read the newest ones.
        fleet.runFor(3s);
    }

    /// Returns the number of jobs of `waitingQueue` that a VM names.
    result<std::uint32_t> countAt(const std::string& vm)
    {
        std::optional<result<std::uint32_t>> count;
        fleet.countPending(vm, waitingQueue, [&count](const result<std::uint32_t>& answer) { count = answer; });
        fleet.runFor(2s);
        BOOST_REQUIRE(count.has_value());
        return *count;
    }

    const std::string waitingQueue = queueName(1000);
    cell_fleet fleet { 2, 3, 2 };
    std::string owner;
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_owner_with_jobs_in_many_queues)

// Guards against VMs that claim the cell from each other without an end: heartbeats grew longer than receivers read.
BOOST_AUTO_TEST_CASE(keeps_the_cell_and_runs_all_jobs)
{
    cell_fleet fleet(1, 4, 10);
    fleet.runFor(2s);
    const std::string owner = fleet.owner(0);
    BOOST_REQUIRE(!owner.empty());
    for (unsigned number = 0; number < manyQueues; ++number)
        fleet.storeIn(queueName(number), cell_fleet::vmName(0, number % 4), fmt::format("job{}", number), 50ms);
    for (unsigned interval = 0; interval < 100; ++interval) {
        fleet.runFor(100ms);
        BOOST_REQUIRE(fleet.owner(0) == owner);
    }
    BOOST_TEST(fleet.stored.size() == manyQueues);
    for (unsigned number = 0; number < manyQueues; ++number)
        BOOST_TEST((fleet.state(0, fmt::format("job{}", number)) == jobs::job_state::completed));
    expectNoViolation(fleet);
}

// Guards against owners that count as silent: their heartbeats listed every queue, or passed on the lists of all other owners.
BOOST_AUTO_TEST_CASE(sends_heartbeats_that_fit_into_a_datagram)
{
    constexpr unsigned otherCells = 18;
    heartbeat sent { { "vm" }, 3, false, true, { viewOfOwner(0, manyQueues) }, 500, {} };
    for (unsigned cell = 1; cell <= otherCells; ++cell)
        sent.relayed.push_back({ { fmt::format("owner{}", cell) }, 20ms, viewOfOwner(cell, 100) });
    const std::string datagram = encode(sent);
    BOOST_TEST(datagram.size() <= net::maxDatagramBytes);
    const auto received = decodeHeartbeat(datagram.substr(0, net::maxDatagramBytes));
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(received->sender.value == "vm");
    BOOST_REQUIRE(received->cells.size() == 1U);
    BOOST_TEST(received->cells[0].epoch == 7U);
    BOOST_TEST(received->cells[0].owned);
    BOOST_REQUIRE(received->cells[0].load.has_value());
    BOOST_TEST(received->cells[0].load->recordsCurrent);
    BOOST_TEST(received->cells[0].load->idleCpu.at("service") == 1000);
    BOOST_REQUIRE(received->relayed.size() == otherCells);
    BOOST_TEST(received->relayed.back().view.owned);
}

// Guards against a number of 0 for queues that wait: their counts do not fit into the heartbeats.
BOOST_FIXTURE_TEST_CASE(is_asked_for_its_counts_by_all_vms, many_pending_jobs)
{
    for (unsigned domain = 0; domain < 2; ++domain) {
        for (unsigned number = 0; number < 3; ++number)
            BOOST_TEST((countAt(cell_fleet::vmName(domain, number)) == 2U));
    }
}

// Guards against a number of 0 while the owner cannot be asked.
BOOST_FIXTURE_TEST_CASE(leaves_the_number_unknown_when_it_does_not_answer, many_pending_jobs)
{
    fleet.freeze(owner);
    const auto count = countAt(cell_fleet::vmName(1, 0));
    BOOST_REQUIRE(!count.has_value());
    BOOST_TEST((count.error().kind == error_kind::owner_unknown));
}

BOOST_AUTO_TEST_SUITE(during_a_rolling_upgrade)

// Guards against VMs that do not hear owners of the version before.
BOOST_AUTO_TEST_CASE(reads_heartbeats_of_the_earlier_version)
{
    const auto received = decodeHeartbeat(earlierHeartbeat());
    BOOST_REQUIRE(received.has_value());
    const auto& load = received->cells.at(0).load;
    BOOST_REQUIRE(load.has_value());
    BOOST_TEST(load->recordsCurrent);
    BOOST_REQUIRE(load->pendingByQueue);
    BOOST_TEST(load->pendingByQueue->at("q") == 3U);
}

BOOST_AUTO_TEST_CASE(sends_heartbeats_of_the_earlier_form_while_the_counts_fit)
{
    heartbeat sent { { "vm" }, 3, false, true, { viewOfOwner(0, 0) }, 500, {} };
    sent.cells[0].load->pendingByQueue = std::make_shared<const queue_counts>(queue_counts { { "q", 3 } });
    BOOST_TEST(encode(sent) == earlierHeartbeat());
}

// Guards against a number of 0 in answers of VMs of the version before, which take an empty list for a count.
BOOST_AUTO_TEST_CASE(tells_vms_of_the_earlier_version_that_the_counts_are_unknown)
{
    constexpr std::size_t recordsCurrentField = 7;
    const heartbeat sent { { "vm" }, 3, false, true, { viewOfOwner(0, manyQueues) }, 500, {} };
    const auto fields = nlohmann::json::from_msgpack(encode(sent));
    BOOST_TEST(fields.at(4).at(0).at(recordsCurrentField) == false);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
