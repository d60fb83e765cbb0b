#include "cells/cell_owner_data.h"

#include <algorithm>

namespace coriandermount::cells {

void cell_owner::data::requeueWhenVerified(lost_run lost)
{
    const time_point now = lost.provedAt;
    unverifiedLosses.push_back(std::move(lost));
    verifyOwnership(now);
}

bool cell_owner::data::hasUnverifiedLoss(const task_key& key) const
{
    return std::any_of(
        unverifiedLosses.begin(), unverifiedLosses.end(), [&key](const lost_run& lost) { return lost.task == key; });
}

void cell_owner::data::verifyOwnership(time_point now)
{
    if ((unverifiedLosses.empty() && !workersAwaitVerification) || verificationInFlight || now < nextVerification)
        return;
    verificationInFlight = true;
    nextVerification = now + verificationPause;
    const auto from = std::max(nextRecord, verificationOffset);
    deferredCalls.emplace_back([self = shared_from_this(), from, newest = verificationReadsNewest, now, number = termNumber] {
        auto done = [self, number, now](const result<jobs::record_batch>& answer) {
            self->locked([&] {
                if (number == self->termNumber)
                    self->onVerificationAnswer(now, answer);
            });
        };
        if (newest)
            self->store.readNewest(self->stream, std::move(done));
        else
            self->store.read(self->stream, from, std::chrono::milliseconds(0), std::move(done));
    });
}

void cell_owner::data::onVerificationAnswer(time_point requestedAt, const result<jobs::record_batch>& answer)
{
    verificationInFlight = false;
    if (!answer && answer.error().kind == error_kind::log_records_expired) {
        verificationReadsNewest = true;
        return;
    }
    if (!answer) {
        nextVerification = clock.now() + verificationRetryPause;
        return;
    }
    const bool readNewest = std::exchange(verificationReadsNewest, false);
    const auto number = termNumber;
    for (const auto& current : answer->records) {
        if (current.value && jobs::recordKindOf(current.key) == jobs::record_kind::owner)
            applyOwner(*current.value);
        if (number != termNumber)
            return;
    }
    const bool truncated = !readNewest && !answer->records.empty() && answer->records.back().offset + 1 < answer->end;
    verificationOffset = truncated ? answer->records.back().offset + 1 : answer->end;
    // An answer has a limited size and may end before the newest record.
    if (truncated) {
        nextVerification = clock.now();
        verifyOwnership(nextVerification);
        return;
    }
    noteOwnershipVerified(requestedAt);
    schedule(clock.now());
}

void cell_owner::data::noteOwnershipVerified(time_point time)
{
    ownershipVerifiedAt = std::max(ownershipVerifiedAt, time);
    const auto isVerified = [this](const lost_run& lost) { return lost.provedAt <= ownershipVerifiedAt; };
    const auto first = std::stable_partition(unverifiedLosses.begin(), unverifiedLosses.end(), std::not_fn(isVerified));
    const std::vector<lost_run> verified(first, unverifiedLosses.end());
    unverifiedLosses.erase(first, unverifiedLosses.end());
    for (const auto& lost : verified)
        requeue(lost.task, lost.worker, lost.attempt);
}

} // namespace coriandermount::cells
