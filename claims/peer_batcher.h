/// Batching of claim messages into calls between VMs.
#pragma once

#include <functional>
#include <memory>

#include "claims/message.h"
#include "peers/peer_link.h"

namespace coriandermount::claims {

/// Name of the RPC method that carries batches of claim messages.
inline constexpr std::string_view peerMethod = "claims";

/// Batches the messages to each peer. Sends at once while few calls to the peer are in flight; otherwise queues messages
/// until one of these calls ends. Thread-safe.
class peer_batcher {
public:
    using receiver = std::function<void(std::vector<message>)>;

    /// Creates a batcher on `link`, which must outlive the batcher. `received` is called with the messages of each reply, on a
    /// thread of the link.
    peer_batcher(peers::peer_link& link, std::string ownAddress, receiver received);
    ~peer_batcher();

    peer_batcher(const peer_batcher&) = delete;
    peer_batcher& operator=(const peer_batcher&) = delete;

    /// Sends messages to the peer at `address`. Drops them when too many are queued for it.
    void send(const std::string& address, std::vector<message> messages);

    /// Stops sending; messages of replies that arrive later are dropped.
    void stop();

private:
    struct data;
    std::shared_ptr<data> m_data;
};

} // namespace coriandermount::claims
