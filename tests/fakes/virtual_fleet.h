/// Membership protocols of several VMs on a virtual clock and a network with faults.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "fleet/membership.h"

namespace coriandermount::fakes {

/// Runs membership protocols without threads; every run with the same calls gives the same result.
class virtual_fleet {
public:
    explicit virtual_fleet(std::uint64_t seed);

    /// Starts a VM; one with the same id starts a new life.
    void start(const std::string& id, const std::string& domain, const std::vector<std::string>& seeds = {});

    /// Ends a VM without a word.
    void kill(const std::string& id);

    /// Stops a VM's clock handling; what arrives meanwhile waits until it is resumed.
    void pause(const std::string& id);
    void resume(const std::string& id);

    /// Drops what `from` sends to `to`.
    void blockLink(const std::string& from, const std::string& to);
    void heal();
    void setLossPercent(unsigned percent) { m_lossPercent = percent; }

    /// Sets what the platform's list shows to all VMs; they read it every half second.
    void setListing(std::vector<entry_vm_info> listing);
    void setListingDown(bool down) { m_listingDown = down; }
    /// Returns a listing with all started VMs.
    std::vector<entry_vm_info> runningVmListing() const;

    void injectEvent(const std::string& id, const fleet::membership_event& event);

    /// Lets time pass.
    void run(std::chrono::milliseconds duration);

    /// Returns the view of a VM.
    fleet_view viewOf(const std::string& id) const;
    /// Returns the state of `subject` in the view of `id`; dead when it is missing.
    member_state stateInView(const std::string& id, const std::string& subject) const;
    bool joined(const std::string& id) const;
    bool markedLeaving(const std::string& id) const;
    std::vector<std::string> runningVms() const;

    /// Counts bytes from now on; off at first, since it takes most of the time.
    void countBytes() { m_countBytes = true; }
    /// Bytes that a VM has sent and received in its messages' text form, with framing.
    std::uint64_t bytesOf(const std::string& id) const;
    std::uint64_t callsOf(const std::string& id) const;
    /// Ids of workers that a VM has heard leaving.
    std::set<std::string> leavingWorkersReceived(const std::string& id) const;

    wall_time wallNow() const;

private:
    struct vm;

    struct scheduled {
        std::chrono::milliseconds at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const scheduled& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    void schedule(std::chrono::milliseconds delay, std::function<void()> action);
    void handle(const std::shared_ptr<vm>& self, const fleet::membership_event& event);
    void sendCall(const std::shared_ptr<vm>& from, const fleet::send_call& call);
    void tick(const std::shared_ptr<vm>& self);
    std::uint64_t sizeOf(const fleet::gossip_message& message) const;
    bool delivers(const vm& from, const vm& to);
    std::shared_ptr<vm> vmAt(const std::string& address) const;
    time_point now() const;

    std::mt19937_64 m_random;
    std::chrono::milliseconds m_time { 0 };
    std::uint64_t m_order = 0;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextPort = 1;
    unsigned m_lossPercent = 0;
    bool m_listingDown = false;
    bool m_countBytes = false;
    std::vector<entry_vm_info> m_listing;
    std::priority_queue<scheduled> m_queue;
    std::map<std::string, std::shared_ptr<vm>> m_vms;
    std::set<std::pair<std::string, std::string>> m_blockedLinks;
};

} // namespace coriandermount::fakes
