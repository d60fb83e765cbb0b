#include "tests/fakes/worker_path.h"

namespace coriandermount::fakes {

namespace {

    constexpr std::chrono::milliseconds firstRetransmission { 200 };
    constexpr std::chrono::milliseconds maxRetransmissionDelay { 3000 };
    constexpr std::uint32_t lossPercent = 40;
    constexpr std::uint32_t maxOpenConnections = 4;
    constexpr std::uint32_t shortestLateness = 2000;
    constexpr std::uint32_t latenessRange = 10000;

} // namespace

worker_path::worker_path(path_fault fault, std::uint32_t seed)
    : m_fault(fault)
    , m_random(seed)
    , m_openConnections(static_cast<int>(m_random() % (maxOpenConnections + 1)))
    , m_pollConnectionOpen(true)
{
}

worker_path worker_path::losing(double share, std::uint32_t seed)
{
    worker_path path(path_fault::unanswered, seed);
    path.m_lostShare = share;
    return path;
}

bool worker_path::losesCall() { return m_random() % 10000 < static_cast<std::uint32_t>(m_lostShare * 10000); }

bool worker_path::losesPacket() { return m_random() % 100 < lossPercent; }

std::chrono::milliseconds worker_path::retransmissionDelay()
{
    std::chrono::milliseconds delay { 0 };
    for (auto next = firstRetransmission; delay < maxRetransmissionDelay && losesPacket(); next *= 2)
        delay += next;
    return delay;
}

order_transport worker_path::nextOrder()
{
    switch (m_fault) {
    case path_fault::none:
        return order_transport::delivered();
    case path_fault::one_way:
        if (m_openConnections == 0)
            return order_transport::notSent();
        --m_openConnections;
        return order_transport::answerLost();
    case path_fault::unanswered:
        if (losesCall())
            return order_transport::delayed(std::chrono::milliseconds(shortestLateness + m_random() % latenessRange));
        return order_transport::delivered();
    case path_fault::lossy:
        break;
    }
    const bool needsConnection = m_random() % 2 == 0;
    if (needsConnection && (losesPacket() || losesPacket()))
        return order_transport::notSent();
    const auto arrivesAfter = retransmissionDelay();
    return { true, arrivesAfter, retransmissionDelay(), std::nullopt };
}

order_transport worker_path::nextPoll()
{
    if (m_fault == path_fault::unanswered)
        return losesCall() ? order_transport::requestLost() : order_transport::delivered();
    if (m_fault != path_fault::one_way)
        return nextOrder();
    const bool open = m_pollConnectionOpen;
    m_pollConnectionOpen = false;
    return open ? order_transport::answerLost() : order_transport::notSent();
}

} // namespace coriandermount::fakes
