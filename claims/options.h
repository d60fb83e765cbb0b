/// Options and outputs of the claim state machine.
#pragma once

#include <chrono>
#include <functional>
#include <vector>

#include "claims/claim_service.h"
#include "claims/message.h"

namespace coriandermount::claims {

/// Safety rules of the protocol. A test turns off one rule at a time to prove that its checker detects the violation.
struct protocol_guards {
    /// Grants a claim only after a quorum of the view has recorded it, instead of after the first vote.
    bool requireClaimQuorum = true;
    /// Refuses votes in every view but the newest known one, and all votes once the log lease has expired.
    bool fencing = true;
    /// Defers grants in a view until all of its predecessors are closed.
    bool waitForClosedPredecessors = true;
    /// Grants a claim only after the closed views that may hold an earlier claim on the key were read.
    bool readClosedViews = true;
    /// Reports an attempt as given up only when it can no longer be granted.
    bool reportOnlyFinalGiveUp = true;
};

/// Identity of a VM in the claim protocol, and the protocol's limits and intervals.
struct claim_core_options {
    vm_ref self;
    std::string rack;
    failure_domain_id domain;
    /// Time after its issue during which a key may be submitted.
    std::chrono::milliseconds resubmissionWindow { std::chrono::minutes(10) };
    /// Longest time by which a key's issue time may be ahead of the clock of the VM that records the claim.
    std::chrono::milliseconds maxClockSkew { std::chrono::seconds(10) };
    /// Largest error of a VM's wall clock.
    std::chrono::milliseconds maxVmClockError { std::chrono::seconds(10) };
    /// Time after which an undecided claim fails.
    std::chrono::milliseconds claimTimeout { std::chrono::seconds(1) };
    /// Time after its last successful log read during which a VM may vote. A view whose successor is older than this and
    /// `maxVmClockError` together is closed.
    std::chrono::milliseconds viewLease { std::chrono::minutes(15) };
    /// Time without a heartbeat after which a VM is left out of the next view.
    std::chrono::milliseconds memberTimeout { std::chrono::seconds(3) };
    /// Time for which the set of live VMs has to be unchanged before a view without some members is proposed.
    std::chrono::milliseconds removalSettleTime { std::chrono::seconds(2) };
    /// Time for which the set of live VMs has to be unchanged before a view that only adds members is proposed.
    std::chrono::milliseconds joinSettleTime { 200 };
    /// Interval at which the newest view is appended again, so that the log retains it and shows that its members are alive.
    std::chrono::milliseconds republishInterval { std::chrono::minutes(1) };
    /// Time without a new record of the domain in the log after which unreachable members of a view are taken as lost.
    std::chrono::milliseconds viewLossTimeout { std::chrono::minutes(3) };
    /// Time without a status reply after which the VM that holds a key is taken as lost.
    std::chrono::milliseconds holderTimeout { std::chrono::seconds(3) };
    /// Interval at which heartbeats are sent to the other VMs of the failure domain.
    std::chrono::milliseconds heartbeatInterval { std::chrono::seconds(1) };
    std::chrono::milliseconds logReadInterval { std::chrono::seconds(2) };
    /// Memory limit for kept answers; the oldest ones are dropped first.
    std::size_t maxAnswerBytes = std::size_t { 64 } * 1024 * 1024;
    protocol_guards guards;
};

/// Monotonic and wall-clock time at which an input is processed.
struct input_time {
    time_point now;
    wall_time wall;
};

/// Identifies a caller that waits for a decision.
enum class caller_token : std::uint64_t {};

/// A message and the address of its receiver.
struct outgoing_message {
    std::string address;
    message body;
};

/// The decision for one waiting caller.
struct caller_decision {
    caller_token token {};
    result<claim_decision> decision;
};

/// Actions that the runtime has to carry out after an input of the state machine.
struct outputs {
    std::vector<outgoing_message> messages;
    std::vector<caller_decision> decisions;
    /// Views to append to the log stream of this VM's failure domain.
    std::vector<claim_view> appends;
    /// Requests a read of the log stream of this VM's failure domain.
    bool readLog = false;
};

/// Functions that encode and decode answers of jobs; supplied by the user of the claim service.
struct answer_codec {
    std::function<std::string(const job_answer&)> encode;
    std::function<result<job_answer>(const std::string&)> decode;
};

} // namespace coriandermount::claims
