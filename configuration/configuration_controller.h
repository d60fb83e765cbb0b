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
struct controller_parts {
    const clock_source& clock;
    platform::log& log;
    peers::peer_link& link;
    peers::peer_service& service;
    event_log::event_sink& journal;
    metrics::registry& metrics;
};

/// What the controller tells and asks others; called on its own threads.
struct controller_listener {
    /// A configuration has come into force.
    std::function<void(std::shared_ptr<const snapshot>)> adopted = [](const std::shared_ptr<const snapshot>&) {};
    /// Version and digest that peers are to be told; called after every change.
    std::function<void(std::uint64_t version, std::uint32_t digest)> versionChanged = [](std::uint64_t, std::uint32_t) {};
    /// Place of this VM among those that may append a copy; 0 comes first.
    std::function<unsigned()> rank = [] { return 0U; };
};

class controller {
public:
    using publish_completion = std::function<void(publish_result)>;

    /// Registers its method with the peer service.
    controller(controller_parts parts, follower_options options, controller_listener listener);
    ~controller();

    controller(const controller&) = delete;
    controller& operator=(const controller&) = delete;

    void start();

    /// Ends the thread; called before the clients of log and link are destroyed.
    void stop();

    /// Publishes `candidate`, which names the version that it is based on; a record id is chosen when it has none.
    void publish(snapshot candidate, publish_completion done);

    /// Tells which version a peer has.
    void noteVersion(std::uint64_t version, std::uint32_t digest, const std::string& peerAddress);

    std::shared_ptr<const snapshot> current() const;

    /// Returns how long the current configuration has been in force on this VM.
    std::chrono::milliseconds age() const;

    /// Whether a configuration is in force or it is known that there is none.
    bool settled() const;

    /// Returns what became of the newest records, oldest first.
    std::vector<history_entry> history() const;

    std::optional<history_entry> outcomeOf(const std::string& recordId) const;

private:
    struct data;
    std::unique_ptr<data> m_data;
};

} // namespace coriandermount::configuration
