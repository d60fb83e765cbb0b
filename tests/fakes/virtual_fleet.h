/// Membership protocols of several VMs on a virtual clock and a simulated network with faults.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "fleet/membership.h"

namespace coriandermount::fakes {

/// Runs the membership protocols of several VMs on one thread. The same seed and the same calls give the same result.
class virtual_fleet {
public:
    explicit virtual_fleet(std::uint64_t seed);
    ~virtual_fleet();

    virtual_fleet(const virtual_fleet&) = delete;
    virtual_fleet& operator=(const virtual_fleet&) = delete;

    /// Starts a VM that knows the addresses of `seeds`. A running VM with the same id is killed first and gets a new incarnation.
    void start(const std::string& id, const std::string& domain, const std::vector<std::string>& seeds = {});

    /// Ends a VM without a leave request.
    void kill(const std::string& id);

    /// Stops the ticks of a VM. Events that arrive in the meantime are handled when it is resumed.
    void pause(const std::string& id);
    void resume(const std::string& id);

    /// Drops all messages from `from` to `to`, until `heal` is called.
    void blockLink(const std::string& from, const std::string& to);
    void heal();
    void setLossPercent(unsigned percent) { m_lossPercent = percent; }

    /// Sets the platform's list, which all VMs read every 500 ms.
    void setListing(std::vector<entry_vm_info> listing);
    void setListingDown(bool down) { m_listingDown = down; }
    /// Returns the list that shows exactly the running VMs, as live.
    std::vector<entry_vm_info> runningVmListing() const;

    /// Passes an event to the protocol of a VM.
    void injectEvent(const std::string& id, const fleet::membership_event& event);

    /// Advances the virtual clock and carries out everything that is due by then.
    void run(std::chrono::milliseconds duration);

    /// Returns the fleet as VM `id` sees it.
    fleet_view viewOf(const std::string& id) const;
    /// Returns the state of `subject` in the view of `id`, which is dead if `subject` is missing.
    member_state stateInView(const std::string& id, const std::string& subject) const;
    bool joined(const std::string& id) const;
    bool markedLeaving(const std::string& id) const;
    std::vector<std::string> runningVms() const;

    /// Counts bytes from now on. Counting is off by default because encoding the messages takes most of the run time.
    void countBytes() { m_countBytes = true; }
    /// Returns the bytes that a VM has sent and received, as encoded messages with an estimate of their framing.
    std::uint64_t bytesOf(const std::string& id) const;
    /// Returns the number of calls that a VM has made since it started.
    std::uint64_t callsOf(const std::string& id) const;
    /// Returns the ids of the workers that other VMs reported to a VM as leaving.
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
