/// Runs the configuration follower of one VM: connects it to the log, its peers, the journal and the metrics.
#pragma once

#include <functional>
#include <memory>

#include "configuration/follower.h"
#include "core/clock.h"
#include "event_log/journal.h"
#include "metrics/metrics.h"
#include "peers/peer_link.h"
#include "platform/log.h"

namespace coriandermount::configuration {

/// Objects that the controller uses; all of them must outlive it.
struct configuration_dependencies {
    const clock_source& clock;
    platform::log& log;
    peers::peer_link& link;
    peers::peer_service& service;
    event_log::event_sink& journal;
    metrics::registry& metrics;
};

/// Callbacks of the controller. They are called on its own thread, on the threads of the log and peer clients, and on those of
/// callers.
struct configuration_listener {
    /// Receives each configuration that comes into force, in order; called with the controller's lock held, so it must not call
    /// the controller.
    std::function<void(std::shared_ptr<const snapshot>)> onAdopted = [](const std::shared_ptr<const snapshot>&) {};
    /// Receives the version and digest that this VM reports to its peers; called after every change of either.
    std::function<void(std::uint64_t version, std::uint32_t digest)> onRevisionChanged = [](std::uint64_t, std::uint32_t) {};
    /// Returns the rank of this VM among those that may append a copy; rank 0 appends first.
    std::function<unsigned()> ownCopyRank = [] { return 0U; };
};

/// Thread-safe access to the configuration of one VM, and the thread that keeps it up to date.
class configuration_controller {
public:
    using publish_completion = std::function<void(publish_result)>;

    /// Registers the RPC method `configuration_fetch` with the peer service.
    configuration_controller(configuration_dependencies dependencies, follower_options options, configuration_listener listener);
    ~configuration_controller();

    configuration_controller(const configuration_controller&) = delete;
    configuration_controller& operator=(const configuration_controller&) = delete;

    /// Starts the thread that polls the log.
    void start();

    /// Stops the polling thread and waits for it. Must be called before the log and the peer link are destroyed.
    void stop();

    /// Publishes `candidate`, whose `basedOn` names the version that it changes, and calls `done` with the outcome. A record
    /// id is generated when `candidate` has none.
    void publish(snapshot candidate, publish_completion done);

    /// Processes the version and digest that a peer reported; a newer configuration is read from the log or fetched from the
    /// peer.
    void handlePeerRevision(std::uint64_t version, std::uint32_t digest, const std::string& peerAddress);

    /// Returns the configuration in force; its version is 0 while there is none.
    std::shared_ptr<const snapshot> current() const;

    /// Returns the time since the current configuration came into force on this VM.
    std::chrono::milliseconds age() const;

    /// Returns whether a configuration is in force or it is known that none has been published.
    bool hasSynced() const;

    /// Returns the outcomes of the newest records, oldest first.
    std::vector<history_entry> history() const;

    /// Returns the outcome of a record; nothing when the record is not in the history.
    std::optional<history_entry> outcomeOf(const std::string& recordId) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::configuration
