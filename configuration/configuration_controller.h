/// Runs the follower of the configuration on one VM.
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

/// What the controller works with; everything outlives it.
struct configuration_dependencies {
    const clock_source& clock;
    platform::log& log;
    peers::peer_link& link;
    peers::peer_service& service;
    event_log::event_sink& journal;
    metrics::registry& metrics;
};

/// What the controller tells and asks others; called on its own threads.
struct configuration_listener {
    /// A configuration has come into force.
    std::function<void(std::shared_ptr<const snapshot>)> onAdopted = [](const std::shared_ptr<const snapshot>&) {};
    /// Version and digest that peers are to be told; called after every change.
    std::function<void(std::uint64_t version, std::uint32_t digest)> onRevisionChanged = [](std::uint64_t, std::uint32_t) {};
    /// Place of this VM among those that may append a copy; 0 comes first.
    std::function<unsigned()> ownCopyRank = [] { return 0U; };
};

class configuration_controller {
public:
    using publish_completion = std::function<void(publish_result)>;

    /// Registers its method with the peer service.
    configuration_controller(configuration_dependencies parts, follower_options options, configuration_listener listener);
    ~configuration_controller();

    configuration_controller(const configuration_controller&) = delete;
    configuration_controller& operator=(const configuration_controller&) = delete;

    void start();

    /// Ends the thread; called before the clients of log and link are destroyed.
    void stop();

    /// Publishes `candidate`, which names the version that it is based on; a record id is chosen when it has none.
    void publish(snapshot candidate, publish_completion done);

    /// Tells which version a peer has.
    void handlePeerRevision(std::uint64_t version, std::uint32_t digest, const std::string& peerAddress);

    std::shared_ptr<const snapshot> current() const;

    /// Returns how long the current configuration has been in force on this VM.
    std::chrono::milliseconds age() const;

    /// Whether a configuration is in force or it is known that there is none.
    bool hasSynced() const;

    /// Returns what became of the newest records, oldest first.
    std::vector<history_entry> history() const;

    std::optional<history_entry> outcomeOf(const std::string& recordId) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::configuration
