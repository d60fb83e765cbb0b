// Tests which VM may claim a cell, and when an owner pauses.
#include <boost/test/unit_test.hpp>

#include "cells/ownership.h"

using namespace coriandermount;
using namespace coriandermount::cells;
using namespace std::chrono_literals;

namespace {

constexpr cell_number cell = 0;
const time_point start(1h);
const vm_id self { "self" };
const vm_id other { "other" };
const vm_id third { "third" };

heartbeat heartbeatFrom(const vm_id& sender, std::uint64_t epoch, bool owns, std::optional<std::chrono::milliseconds> silence)
{
    return { sender, 1, false, true, { { cell, epoch, owns, silence, std::nullopt } } };
}

/// Returns the state of a VM that knows `other` as the owner and has received heartbeats of all VMs up to `now`.
ownership follower(time_point now)
{
    ownership state(cell, { self, 1 }, {}, start);
    state.onOwnerRecord({ 1, other, 1, false }, now);
    state.onLivenessRecord(1, now);
    state.onStoreContact(now);
    state.onHeartbeat(heartbeatFrom(other, 1, true, 0ms), now);
    state.onHeartbeat(heartbeatFrom(third, 1, false, 10ms), now);
    return state;
}

/// Returns the advice after the claim delays of all ranks have passed.
ownership_advice adviceAfterAllRanks(ownership& state, time_point now)
{
    state.advise(now);
    return state.advise(now + 400ms);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ownership_of_a_cell)

BOOST_AUTO_TEST_CASE(is_claimed_when_the_cell_has_no_owner)
{
    ownership state(cell, { self, 1 }, {}, start);
    state.onStoreContact(start + 1s);
    BOOST_TEST((state.advise(start + 1s) == ownership_advice::claim));
}

// All VMs return from a power loss: the owner claimed its cell again only 0.4 s after its start.
BOOST_AUTO_TEST_CASE(is_claimed_at_once_by_the_next_incarnation_of_its_owner)
{
    ownership state(cell, { self, 2 }, {}, start);
    state.onStoreContact(start + 20ms);
    state.onOwnerRecord({ 5, self, 1, false }, start + 20ms);
    BOOST_TEST((state.advise(start + 20ms) == ownership_advice::claim));
}

BOOST_AUTO_TEST_CASE(is_not_claimed_at_once_when_another_vm_has_succeeded_that_owner)
{
    ownership state(cell, { self, 2 }, {}, start);
    state.onStoreContact(start + 20ms);
    state.onOwnerRecord({ 5, self, 1, false }, start + 20ms);
    state.onHeartbeat(heartbeatFrom(other, 6, true, 0ms), start + 20ms);
    BOOST_TEST((state.advise(start + 20ms) == ownership_advice::none));
}

BOOST_AUTO_TEST_CASE(is_not_claimed_by_a_vm_that_the_store_does_not_answer)
{
    ownership state(cell, { self, 1 }, {}, start);
    BOOST_TEST((state.advise(start + 10s) == ownership_advice::none));
}

BOOST_AUTO_TEST_CASE(is_not_claimed_by_a_draining_vm)
{
    ownership state(cell, { self, 1 }, {}, start);
    state.onStoreContact(start + 1s);
    state.drain();
    BOOST_TEST((state.advise(start + 1s) == ownership_advice::none));
}

BOOST_AUTO_TEST_CASE(is_claimed_by_the_vm_with_the_most_processor_time_first)
{
    for (const std::uint32_t processorMillis : { 120U, 500U }) {
        ownership state(cell, { self, 1, processorMillis }, {}, start);
        state.onStoreContact(start + 1s);
        heartbeat weaker = heartbeatFrom(other, 0, false, std::nullopt);
        weaker.processorMillis = 250;
        state.onHeartbeat(weaker, start + 1s);
        const auto expected = processorMillis > weaker.processorMillis ? ownership_advice::claim : ownership_advice::none;
        BOOST_TEST((state.advise(start + 1s) == expected));
    }
}

BOOST_AUTO_TEST_CASE(is_handed_over_to_a_vm_with_more_processor_time_after_heartbeats_without_a_gap)
{
    for (const std::uint32_t processorMillis : { 120U, 500U }) {
        ownership state(cell, { self, 1, processorMillis }, {}, start);
        heartbeat stronger = heartbeatFrom(other, 1, false, 10ms);
        stronger.processorMillis = 500;
        for (auto now = start; now < start + 5s; now += 200ms)
            state.onHeartbeat(stronger, now);
        BOOST_TEST(state.hasStrongerSuccessor(start + 5s) == (processorMillis < stronger.processorMillis));
        // After a gap of a second in the heartbeats, the VM may not be stable yet.
        state.onHeartbeat(stronger, start + 6s);
        BOOST_TEST(!state.hasStrongerSuccessor(start + 6s));
    }
}

namespace {

/// Returns the state of a VM with `processorMillis` whose cell is owned by `other` with 120 thousandths of a core.
ownership rivalOfWeakOwner(std::uint32_t processorMillis, time_point now)
{
    ownership state(cell, { self, 1, processorMillis }, {}, start);
    state.onStoreContact(now);
    state.onOwnerRecord({ 1, other, 1, false, 120 }, now);
    state.onHeartbeat(heartbeatFrom(other, 1, true, 0ms), now);
    return state;
}

/// Returns the advice one second later, while heartbeats of the owner and answers of the store still arrive.
ownership_advice adviceWhileOwnerIsAlive(ownership& state, time_point now)
{
    state.advise(now);
    state.onStoreContact(now + 1s);
    state.onHeartbeat(heartbeatFrom(other, 1, true, 0ms), now + 1s);
    return state.advise(now + 1s);
}

} // namespace

BOOST_AUTO_TEST_CASE(is_taken_from_a_live_owner_only_by_a_vm_with_twice_its_processor_time)
{
    for (const std::uint32_t processorMillis : { 120U, 239U, 240U, 500U }) {
        auto state = rivalOfWeakOwner(processorMillis, start + 1s);
        const auto expected = processorMillis >= 240 ? ownership_advice::preempt : ownership_advice::none;
        BOOST_TEST((adviceWhileOwnerIsAlive(state, start + 1s) == expected));
    }
}

BOOST_AUTO_TEST_CASE(is_not_taken_from_a_live_owner_by_a_draining_vm_or_one_without_the_store)
{
    auto draining = rivalOfWeakOwner(500, start + 1s);
    draining.drain();
    BOOST_TEST((adviceWhileOwnerIsAlive(draining, start + 1s) == ownership_advice::none));
    auto unreachable = rivalOfWeakOwner(500, start + 1s);
    unreachable.advise(start + 1s);
    unreachable.onHeartbeat(heartbeatFrom(other, 1, true, 0ms), start + 10s);
    BOOST_TEST((unreachable.advise(start + 10s) == ownership_advice::none));
}

BOOST_AUTO_TEST_CASE(is_not_taken_from_a_live_owner_whose_record_lacks_its_processor_time)
{
    ownership state(cell, { self, 1, 500 }, {}, start);
    state.onStoreContact(start + 1s);
    state.onOwnerRecord({ 1, other, 1, false }, start + 1s);
    state.onHeartbeat(heartbeatFrom(other, 1, true, 0ms), start + 1s);
    BOOST_TEST((adviceWhileOwnerIsAlive(state, start + 1s) == ownership_advice::none));
}

BOOST_AUTO_TEST_CASE(is_handed_over_by_a_draining_owner_to_a_weaker_vm_only_as_the_last_choice)
{
    ownership state(cell, { self, 1, 500 }, {}, start);
    for (auto now = start; now < start + 1s; now += 200ms) {
        heartbeat weaker = heartbeatFrom(other, 1, false, 10ms);
        weaker.processorMillis = 120;
        state.onHeartbeat(weaker, now);
    }
    BOOST_TEST(!state.hasSuccessor(successor_choice::comparable, start + 1s));
    BOOST_TEST(state.hasSuccessor(successor_choice::any, start + 1s));
    for (auto now = start + 1s; now < start + 2s; now += 200ms) {
        heartbeat comparable = heartbeatFrom(third, 1, false, 10ms);
        comparable.processorMillis = 400;
        state.onHeartbeat(comparable, now);
    }
    BOOST_TEST(state.hasSuccessor(successor_choice::comparable, start + 2s));
}

BOOST_AUTO_TEST_CASE(is_claimed_by_a_vm_with_infrequent_heartbeats_only_after_the_witnesses)
{
    ownership state(cell, { self, 1, 120 }, {}, start);
    state.setHeartbeatScope(heartbeat_scope::owner);
    state.onOwnerRecord({ 1, other, 1, false }, start + 5s);
    state.onLivenessRecord(1, start + 5s);
    state.onStoreContact(start + 5s);
    state.onHeartbeat(heartbeatFrom(other, 1, true, 0ms), start + 5s);
    BOOST_TEST((state.advise(start + 5600ms) == ownership_advice::none));
    BOOST_TEST((state.advise(start + 6500ms) == ownership_advice::none));
    state.onStoreContact(start + 7600ms);
    BOOST_TEST((state.advise(start + 7600ms) == ownership_advice::none));
    BOOST_TEST((state.advise(start + 8700ms) == ownership_advice::none));
    BOOST_TEST((state.advise(start + 8900ms) == ownership_advice::claim));
}

BOOST_AUTO_TEST_CASE(is_not_claimed_while_heartbeats_of_the_owner_arrive)
{
    auto state = follower(start + 5s);
    BOOST_TEST((adviceAfterAllRanks(state, start + 5s) == ownership_advice::none));
}

BOOST_AUTO_TEST_CASE(is_claimed_when_most_vms_miss_heartbeats_of_the_owner)
{
    auto state = follower(start + 5s);
    state.onHeartbeat(heartbeatFrom(third, 1, false, 700ms), start + 5700ms);
    state.onStoreContact(start + 5700ms);
    state.onHeartbeat(heartbeatFrom(third, 1, false, 900ms), start + 6050ms);
    BOOST_TEST((adviceAfterAllRanks(state, start + 5700ms) == ownership_advice::claim));
}

BOOST_AUTO_TEST_CASE(is_not_claimed_while_other_vms_receive_heartbeats_of_the_owner)
{
    auto state = follower(start + 5s);
    const vm_id fourth { "fourth" };
    for (const auto at : { start + 5700ms, start + 6050ms }) {
        state.onHeartbeat(heartbeatFrom(third, 1, false, 20ms), at);
        state.onHeartbeat(heartbeatFrom(fourth, 1, false, 20ms), at);
    }
    state.onStoreContact(start + 5700ms);
    BOOST_TEST((adviceAfterAllRanks(state, start + 5700ms) == ownership_advice::none));
}

BOOST_AUTO_TEST_CASE(is_not_claimed_by_an_isolated_vm_while_records_of_the_owner_are_recent)
{
    auto state = follower(start + 5s);
    state.onLivenessRecord(1, start + 7s);
    state.onStoreContact(start + 8s);
    BOOST_TEST((adviceAfterAllRanks(state, start + 8s) == ownership_advice::none));
}

BOOST_AUTO_TEST_CASE(is_claimed_by_an_isolated_vm_once_records_of_the_owner_are_old)
{
    auto state = follower(start + 5s);
    state.onStoreContact(start + 8s);
    BOOST_TEST((adviceAfterAllRanks(state, start + 8s) == ownership_advice::claim));
}

BOOST_AUTO_TEST_SUITE(held_by_this_vm)

BOOST_AUTO_TEST_CASE(pauses_when_isolated_and_unverified_and_resumes_when_verified)
{
    auto state = follower(start + 5s);
    state.onOwnerRecord({ 2, self, 1, false }, start + 5s);
    state.onOwnershipVerified(start + 5s);
    BOOST_TEST(state.isOwner());
    BOOST_TEST((state.advise(start + 6s) == ownership_advice::none));
    BOOST_TEST((state.advise(start + 7500ms) == ownership_advice::pause));
    BOOST_TEST((state.advise(start + 7600ms) == ownership_advice::none));
    state.onOwnershipVerified(start + 7700ms);
    BOOST_TEST((state.advise(start + 7800ms) == ownership_advice::resume));
}

BOOST_AUTO_TEST_CASE(continues_unverified_while_most_vms_are_reachable)
{
    auto state = follower(start + 5s);
    state.onOwnerRecord({ 2, self, 1, false }, start + 5s);
    for (const auto at : { start + 9s }) {
        state.onHeartbeat(heartbeatFrom(other, 2, false, 10ms), at);
        state.onHeartbeat(heartbeatFrom(third, 2, false, 10ms), at);
    }
    BOOST_TEST((state.advise(start + 9s) == ownership_advice::none));
}

BOOST_AUTO_TEST_CASE(continues_unverified_in_a_partitioned_domain_while_every_candidate_is_reachable)
{
    auto state = follower(start + 5s);
    state.onOwnerRecord({ 2, self, 1, false }, start + 5s);
    for (const char* elsewhere : { "a", "b", "c", "d", "e", "f" })
        state.onHeartbeat({ { elsewhere }, 1, false, true, { { cell + 1, 1, false, 10ms, std::nullopt } } }, start + 5s);
    state.onHeartbeat(heartbeatFrom(other, 2, false, 10ms), start + 9s);
    state.onHeartbeat(heartbeatFrom(third, 2, false, 10ms), start + 9s);
    BOOST_TEST((state.advise(start + 9s) == ownership_advice::none));
    state.onHeartbeat(heartbeatFrom(other, 2, false, 10ms), start + 10s);
    // The third VM may have claimed the cell.
    BOOST_TEST((state.advise(start + 10s) == ownership_advice::pause));
}

BOOST_AUTO_TEST_CASE(ends_when_a_heartbeat_has_a_higher_epoch)
{
    auto state = follower(start + 5s);
    state.onOwnerRecord({ 2, self, 1, false }, start + 5s);
    state.onHeartbeat(heartbeatFrom(third, 3, true, 0ms), start + 6s);
    BOOST_TEST(!state.isOwner());
}

/// Returns the state of an owner in epoch 2, whose ownership was last verified at `now`.
ownership contestedOwner(time_point now, std::uint64_t reportedEpoch)
{
    auto state = follower(now);
    state.onOwnerRecord({ 2, self, 1, false }, now);
    state.onOwnershipVerified(now);
    state.onHeartbeat(heartbeatFrom(third, reportedEpoch, true, 0ms), now + 100ms);
    return state;
}

// Guards against the end of a term by one garbled datagram: no VM could own the cell any more until claims had reached its epoch.
BOOST_AUTO_TEST_CASE(is_kept_when_a_heartbeat_has_an_epoch_that_no_claim_can_have_reached)
{
    for (const std::uint64_t garbled : { std::uint64_t { 4 }, std::uint64_t { 1 } << 60U, ~std::uint64_t { 0 } }) {
        auto state = contestedOwner(start + 5s, garbled);
        BOOST_TEST(state.isOwner());
        BOOST_TEST(state.view(start + 5100ms).epoch == 2U);
        // Several claims may have been made that this VM has not read, so it gives no orders until the store has answered.
        BOOST_TEST((state.advise(start + 5100ms) == ownership_advice::pause));
        BOOST_TEST(state.needsVerification(start + 5100ms));
        state.onOwnershipVerified(start + 5110ms);
        BOOST_TEST(!state.needsVerification(start + 5120ms));
        BOOST_TEST((state.advise(start + 5120ms) == ownership_advice::resume));
    }
}

BOOST_AUTO_TEST_CASE(resumes_when_the_sender_of_such_an_epoch_takes_it_back_or_falls_silent)
{
    for (const bool takenBack : { true, false }) {
        auto state = contestedOwner(start + 5s, 1000);
        BOOST_TEST((state.advise(start + 5100ms) == ownership_advice::pause));
        if (takenBack)
            state.onHeartbeat(heartbeatFrom(third, 2, false, 10ms), start + 5300ms);
        BOOST_TEST((state.advise(start + 5300ms) == (takenBack ? ownership_advice::resume : ownership_advice::none)));
        const auto later = takenBack ? ownership_advice::none : ownership_advice::resume;
        BOOST_TEST((state.advise(start + 5850ms) == later));
    }
}

BOOST_AUTO_TEST_CASE(does_not_pause_again_for_an_epoch_that_the_store_has_refuted_while_the_store_answers)
{
    auto state = contestedOwner(start + 5s, 1000);
    state.onOwnershipVerified(start + 5200ms);
    for (auto now = start + 5200ms; now < start + 7s; now += 100ms) {
        state.onHeartbeat(heartbeatFrom(third, 1000, true, 0ms), now);
        BOOST_TEST((state.advise(now) == ownership_advice::none));
    }
    state.onHeartbeat(heartbeatFrom(third, 1000, true, 0ms), start + 7200ms);
    BOOST_TEST((state.advise(start + 7200ms) == ownership_advice::pause));
}

BOOST_AUTO_TEST_CASE(ends_when_the_record_confirms_such_an_epoch)
{
    auto state = contestedOwner(start + 5s, 4);
    state.onOwnerRecord({ 3, other, 2, false }, start + 5110ms);
    BOOST_TEST(!state.isOwner());
    state.onOwnerRecord({ 4, third, 1, false }, start + 5110ms);
    BOOST_TEST(!state.isOwner());
    BOOST_TEST((state.advise(start + 5110ms) == ownership_advice::none));
}

// Guards against an outage without an end: after the garbled epoch, claims advanced by one and stayed below it.
BOOST_AUTO_TEST_CASE(can_be_claimed_after_a_garbled_epoch)
{
    auto state = follower(start + 5s);
    state.onHeartbeat(heartbeatFrom(third, 1U << 30U, false, 10ms), start + 5100ms);
    state.onOwnerRecord({ 2, self, 1, false }, start + 6s);
    BOOST_TEST(state.isOwner());
}

BOOST_AUTO_TEST_CASE(does_not_continue_in_another_incarnation)
{
    ownership state(cell, { self, 2 }, {}, start);
    state.onOwnerRecord({ 4, self, 1, false }, start);
    state.onStoreContact(start + 1s);
    BOOST_TEST(!state.isOwner());
    BOOST_TEST((state.advise(start + 1s) == ownership_advice::claim));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_was_just_claimed)

namespace {

/// Returns the state of a VM that has claimed the cell of `other` at `now`, and that has received heartbeats until then.
ownership claimant(time_point now)
{
    ownership state = follower(now);
    state.onOwnerRecord({ 2, self, 1, false }, now);
    return state;
}

} // namespace

// Guards against a new owner that stops the runs of VMs that do not know it yet.
BOOST_AUTO_TEST_CASE(is_known_once_all_peers_that_are_heard_name_its_epoch)
{
    const time_point now = start + 1s;
    ownership state = claimant(now);
    state.onHeartbeat(heartbeatFrom(other, 2, false, 10ms), now + 50ms);
    BOOST_TEST(!state.isKnownToPeers(now + 50ms));
    state.onHeartbeat(heartbeatFrom(third, 2, false, 10ms), now + 60ms);
    BOOST_TEST(state.isKnownToPeers(now + 60ms));
}

// Guards against a new owner that waits for VMs that are lost.
BOOST_AUTO_TEST_CASE(is_known_once_the_peers_that_do_not_know_it_are_silent)
{
    const time_point now = start + 1s;
    ownership state = claimant(now);
    state.onHeartbeat(heartbeatFrom(third, 2, false, 10ms), now + 60ms);
    BOOST_TEST(!state.isKnownToPeers(now + 690ms));
    BOOST_TEST(state.isKnownToPeers(now + 700ms));
}

// Guards against an owner that has just started, knows no VM yet, and waits for none.
BOOST_AUTO_TEST_CASE(is_not_known_while_the_owner_may_not_have_heard_its_peers)
{
    ownership state(cell, { self, 2 }, {}, start);
    state.onOwnerRecord({ 4, self, 2, false }, start);
    BOOST_TEST(!state.isKnownToPeers(start + 390ms));
    BOOST_TEST(state.isKnownToPeers(start + 400ms));
}

// Guards against runs that a new owner keeps after the callers of a lost owner have returned.
BOOST_AUTO_TEST_CASE(tells_when_a_lost_owner_was_last_heard)
{
    const time_point now = start + 1s;
    ownership state = follower(now);
    BOOST_TEST(!state.previousOwnerSeenAt().has_value());
    state.onOwnerRecord({ 2, self, 1, false }, now + 600ms);
    BOOST_REQUIRE(state.previousOwnerSeenAt().has_value());
    BOOST_TEST((*state.previousOwnerSeenAt() == now));
}

// Guards against a handover that counts as a loss, whose callers have not left.
BOOST_AUTO_TEST_CASE(does_not_count_an_owner_that_released_it_as_lost)
{
    const time_point now = start + 1s;
    ownership state = follower(now);
    state.onOwnerRecord({ 1, other, 1, true }, now + 10ms);
    state.onOwnerRecord({ 2, self, 1, false }, now + 20ms);
    BOOST_TEST(!state.previousOwnerSeenAt().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
