#include "claims/peer_batcher.h"

#include <map>
#include <mutex>

#include "claims/message_codec.h"

namespace coriandermount::claims {

namespace {

    constexpr unsigned maxCallsInFlight = 2;
    constexpr std::size_t maxMessagesPerCall = 2000;
    /// Limit on the messages queued for a peer that does not reply. Messages beyond it are dropped; the protocol sends them
    /// again.
    constexpr std::size_t maxPendingMessages = 20000;
    constexpr std::chrono::milliseconds callTimeout { 1000 };

} // namespace

struct peer_batcher::data : std::enable_shared_from_this<data> {
    struct queue {
        std::vector<message> pending;
        unsigned callsInFlight = 0;
    };

    peers::peer_link& link;
    std::string ownAddress;
    receiver received;
    std::mutex mutex;
    std::map<std::string, queue> queues;
    bool stopped = false;

    data(peers::peer_link& givenLink, std::string address, receiver givenReceiver)
        : link(givenLink)
        , ownAddress(std::move(address))
        , received(std::move(givenReceiver))
    {
    }

    void flush(const std::string& address);
    void onCallEnded(const std::string& address, const tl::expected<std::string, net::transport_error>& reply);
};

void peer_batcher::data::flush(const std::string& address)
{
    message_batch batch { ownAddress, {} };
    {
        const std::scoped_lock lock(mutex);
        queue& target = queues[address];
        if (stopped || target.pending.empty() || target.callsInFlight >= maxCallsInFlight)
            return;
        ++target.callsInFlight;
        const std::size_t count = std::min(target.pending.size(), maxMessagesPerCall);
        const auto end = target.pending.begin() + static_cast<std::ptrdiff_t>(count);
        batch.messages.assign(std::make_move_iterator(target.pending.begin()), std::make_move_iterator(end));
        target.pending.erase(target.pending.begin(), end);
    }
    link.call(address, std::string(peerMethod), encodeBatch(batch), callTimeout,
        [self = shared_from_this(), address](const auto& reply) { self->onCallEnded(address, reply); });
}

void peer_batcher::data::onCallEnded(const std::string& address, const tl::expected<std::string, net::transport_error>& reply)
{
    {
        const std::scoped_lock lock(mutex);
        --queues[address].callsInFlight;
        if (stopped)
            return;
    }
    flush(address);
    if (!reply)
        return;
    auto batch = decodeBatch(*reply);
    if (batch && !batch->messages.empty())
        received(std::move(batch->messages));
}

peer_batcher::peer_batcher(peers::peer_link& link, std::string ownAddress, receiver received)
    : m_data(std::make_shared<data>(link, std::move(ownAddress), std::move(received)))
{
}

peer_batcher::~peer_batcher() { stop(); }

void peer_batcher::stop()
{
    const std::scoped_lock lock(m_data->mutex);
    m_data->stopped = true;
}

void peer_batcher::send(const std::string& address, std::vector<message> messages)
{
    {
        const std::scoped_lock lock(m_data->mutex);
        auto& pending = m_data->queues[address].pending;
        if (pending.size() + messages.size() > maxPendingMessages)
            return;
        pending.insert(pending.end(), std::make_move_iterator(messages.begin()), std::make_move_iterator(messages.end()));
    }
    m_data->flush(address);
}

} // namespace coriandermount::claims
