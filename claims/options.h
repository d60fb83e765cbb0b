/// Options and outputs of the claim state machine.
#pragma once

#include <chrono>
#include <functional>
#include <vector>

#include "claims/claim_service.h"
#include "claims/message.h"

namespace coriandermount::claims {

/// Parts of the protocol that a test turns off to show that its checker notices.
struct protocol_guards {
    /// A claim is recorded by a quorum of the view, not by the owner alone.
    bool requireClaimQuorum = true;
    /// A voter refuses votes for any view but the newest one that it knows.
    bool fencing = true;
    /// A view grants nothing before its predecessors are closed.
    bool waitForClosedPredecessors = true;
    /// A key that may have been claimed in an earlier view is looked up there first.
    bool readClosedViews = true;
    /// An attempt is reported as given up only when it can't be granted any more.
    bool reportOnlyFinalGiveUp = true;
};

struct claim_core_options {
    vm_ref self;
    std::string rack;
    failure_domain_id domain;
    /// How long after its issue time a key may be submitted.
    std::chrono::milliseconds resubmissionWindow { std::chrono::minutes(10) };
    /// Largest lead of a key's issue time over the clock of the VM that records the claim.
    std::chrono::milliseconds maxClockSkew { std::chrono::seconds(10) };
    /// Largest error of a VM's wall clock.
    std::chrono::milliseconds maxVmClockError { std::chrono::seconds(10) };
    /// Longest time to the decision on a claim.
    std::chrono::milliseconds claimTimeout { std::chrono::seconds(1) };
    /// A VM that read no log for this long votes no more; a view that was replaced this long ago is closed.
    std::chrono::milliseconds viewLease { std::chrono::minutes(15) };
    /// A VM that sent no heartbeat for this long is left out of the next view.
    std::chrono::milliseconds memberTimeout { std::chrono::seconds(3) };
    /// VMs are missing this long before a view without them is proposed.
    std::chrono::milliseconds removalSettleTime { std::chrono::seconds(2) };
    /// VMs have joined this long before a view with them is proposed.
    std::chrono::milliseconds joinSettleTime { 200 };
    /// The newest view is written again, so that the log keeps it and others see that its members live.
    std::chrono::milliseconds republishInterval { std::chrono::minutes(1) };
    /// Members whose domain wrote no record for this long, and whom nobody hears, are taken as lost.
    std::chrono::milliseconds viewLossTimeout { std::chrono::minutes(3) };
    /// A holder of a key that sent no status for this long is taken as lost.
    std::chrono::milliseconds holderTimeout { std::chrono::seconds(3) };
    std::chrono::milliseconds helloInterval { std::chrono::seconds(1) };
    std::chrono::milliseconds logReadInterval { std::chrono::seconds(2) };
    std::size_t maxAnswerBytes = std::size_t { 64 } * 1024 * 1024;
    protocol_guards guards;
};

/// Time of one input.
struct input_time {
    time_point now;
    wall_time wall;
};

/// Names a caller that waits for a verdict.
enum class caller_token : std::uint64_t {};

struct outgoing_message {
    std::string address;
    message body;
};

struct caller_decision {
    caller_token token {};
    result<claim_decision> decision;
};

/// What the runtime has to carry out after an input.
struct outputs {
    std::vector<outgoing_message> messages;
    std::vector<caller_decision> decisions;
    /// Views to append to the log of the own domain.
    std::vector<claim_view> appends;
    /// Read the log of the own domain.
    bool readLog = false;
};

/// Text forms of answers, given by the layer above.
struct answer_codec {
    std::function<std::string(const job_answer&)> encode;
    std::function<result<job_answer>(const std::string&)> decode;
};

} // namespace coriandermount::claims
