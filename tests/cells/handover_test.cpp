// Checks that a cell stays usable when the store does not answer the records with which its owner hands it over.
#include <boost/test/unit_test.hpp>

#include "cells/cell_member.h"
#include "cells/ownership_codec.h"
#include "tests/fakes/single_owner.h"

using namespace coriandermount;
using namespace coriandermount::fakes;
using namespace std::chrono_literals;

namespace {

/// The owner of a cell, and a VM with more processor time that sends heartbeats and never claims the cell.
struct handed_over_cell : single_owner, cells::worker_source {
    handed_over_cell()
    {
        member.start();
        advance(1500ms);
        BOOST_REQUIRE(owner.isServing());
        strongerVmIsAlive = true;
        // The handover starts four seconds after the first heartbeat of the other VM.
        advance(3500ms);
        BOOST_REQUIRE(owner.isServing());
    }

    void advance(std::chrono::milliseconds duration)
    {
        constexpr auto tickInterval = 10ms;
        for (auto passed = 0ms; passed < duration; passed += tickInterval) {
            if (strongerVmIsAlive)
                member.onHeartbeat(heartbeatOfStrongerVm());
            member.tick();
            runFor(tickInterval);
        }
    }

    cells::heartbeat heartbeatOfStrongerVm() const
    {
        auto view = member.view();
        view.owned = false;
        view.load.reset();
        return { { "vm-2" }, 1, false, true, { view }, 1000 };
    }

    /// Returns whether the store holds a record with which an owner released the cell.
    bool wasReleased()
    {
        bool released = false;
        records.read({ "cells", 0 }, 0, 0ms, store_fault::none, [&released](const result<jobs::record_batch>& batch) {
            for (const auto& current : batch->records)
                released
                    = released || (current.key == cells::ownerRecordKey && cells::decodeOwnerRecord(*current.value)->released);
        });
        loop.runFor(10ms);
        return released;
    }

    void append(jobs::append_request request, append_completion done) override { records.append(request, fault, done); }
    using single_owner::start;
    using single_owner::stop;
    void start() override { owner.setWorkers({}); }
    void stop() override { }
    void tick(time_point) override { }

    store_fault fault = store_fault::none;
    bool strongerVmIsAlive = false;
    /// Leaves time for the faults of the store between the first heartbeat of the other VM and the handover.
    static constexpr cells::ownership_settings lateHandover { .successorDelay = 4000ms };
    cells::cell_member member { *this, loop, owner, *this, { "cells", 0 }, 0, { { "vm-1" }, 1, 100 }, lateHandover };
};

/// A VM whose cell is owned by another VM with less processor time, which is alive and never hands the cell over.
struct cell_of_a_weak_owner : single_owner, cells::worker_source {
    explicit cell_of_a_weak_owner(std::chrono::milliseconds storeAnswerTime)
    {
        jobs::append_request request;
        request.stream = { "cells", 0 };
        request.records.push_back(
            { std::string(cells::ownerRecordKey), cells::encodeOwnerRecord({ 1, { "vm-2" }, 1, false, 120 }), 0 });
        records.append(request, store_fault::none, [](const result<std::uint64_t>&) {});
        loop.runFor(100ms);
        records.setAnswerTime(storeAnswerTime);
        member.start();
    }

    void advance(std::chrono::milliseconds duration)
    {
        constexpr auto tickInterval = 10ms;
        for (auto passed = 0ms; passed < duration; passed += tickInterval) {
            member.onHeartbeat({ { "vm-2" }, 1, false, true, { { 0, 1, true, 0ms, std::nullopt } }, 120 });
            member.tick();
            runFor(tickInterval);
        }
    }

    using single_owner::start;
    using single_owner::stop;
    void start() override { owner.setWorkers({}); }
    void stop() override { }
    void tick(time_point) override { }

    cells::cell_member member { *this, loop, owner, *this, { "cells", 0 }, 0, { { "vm-1" }, 1, 500 } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_cell_that_is_handed_over, handed_over_cell)

BOOST_AUTO_TEST_CASE(is_released_when_the_store_answers)
{
    BOOST_TEST(!wasReleased());
    advance(1500ms);
    BOOST_TEST(wasReleased());
}

BOOST_AUTO_TEST_CASE(is_released_after_an_append_of_its_owner_was_not_answered)
{
    // Guards against a cell without an owner: the release reused the number of the unanswered append, so that the store took it
    // for a repetition of that append.
    fault = store_fault::drops_answers;
    advance(1100ms);
    fault = store_fault::none;
    advance(1500ms);
    BOOST_TEST(wasReleased());
}

BOOST_AUTO_TEST_CASE(is_served_again_if_its_release_was_refused_and_the_other_vm_is_lost)
{
    // Guards against a cell without an owner: the owner had stopped, but no longer released the cell.
    advance(300ms);
    fault = store_fault::refuses_requests;
    advance(500ms);
    BOOST_REQUIRE(!owner.isServing());
    strongerVmIsAlive = false;
    advance(1s);
    fault = store_fault::none;
    advance(3s);
    BOOST_TEST(owner.isServing());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_cell_of_a_weak_owner)

// Guards against a cell that stays with an owner without processor time until that owner hands it over (issue 35).
BOOST_AUTO_TEST_CASE(is_claimed_by_a_stronger_vm_that_waited_for_the_handover)
{
    cell_of_a_weak_owner cell(4ms);
    cell.advance(400ms);
    BOOST_TEST(!cell.member.isOwner());
    cell.advance(100ms);
    BOOST_TEST(cell.member.isOwner());
}

// Guards against seconds in which nobody starts tasks: the steps of a takeover take several calls of the store.
BOOST_AUTO_TEST_CASE(is_not_claimed_while_the_store_is_slow)
{
    cell_of_a_weak_owner cell(100ms);
    cell.advance(5s);
    BOOST_TEST(!cell.member.isOwner());
    cell.records.setAnswerTime(4ms);
    cell.advance(1s);
    BOOST_TEST(cell.member.isOwner());
}

BOOST_AUTO_TEST_SUITE_END()
