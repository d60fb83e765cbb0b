/// The network between owners and one worker: what becomes of each order and its answer.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "cells/worker_link.h"

namespace coriandermount::fakes {

/// Time after which the sender of an order gives up, whether on the connection or on the answer.
inline constexpr std::chrono::milliseconds orderTimeout { 120 };

/// What the network does with one order.
struct order_transport {
    /// Whether a connection can be made. Without one the order fails as `not_sent`.
    bool connected = true;
    /// Delay of the order; none if it is lost.
    std::optional<std::chrono::milliseconds> arrivesAfter { std::chrono::milliseconds(0) };
    /// Delay of the answer; none if it is lost. An order that is not answered within `orderTimeout` fails as `no_answer`.
    std::optional<std::chrono::milliseconds> answerAfter { std::chrono::milliseconds(0) };
    /// Answer of a worker that refuses the order, although it could execute it.
    std::optional<cells::order_failure> refusal;

    bool isAnswered() const { return connected && arrivesAfter && answerAfter && *arrivesAfter + *answerAfter < orderTimeout; }

    static order_transport delivered() { return {}; }
    /// The order is executed at once, but the sender gets no answer.
    static order_transport answerLost() { return { true, std::chrono::milliseconds(0), std::nullopt, std::nullopt }; }
    /// The order is executed after `delay`, and the sender gets no answer.
    static order_transport delayed(std::chrono::milliseconds delay) { return { true, delay, std::nullopt, std::nullopt }; }
    /// The order is never executed, and the sender gets no answer.
    static order_transport requestLost() { return { true, std::nullopt, std::nullopt, std::nullopt }; }
    static order_transport notSent() { return { false, std::nullopt, std::nullopt, std::nullopt }; }
    static order_transport refused(cells::order_failure refusal)
    {
        return { true, std::chrono::milliseconds(0), std::chrono::milliseconds(0), refusal };
    }
};

enum class path_fault {
    none,
    /// Packets reach the worker, but none come back: open connections deliver orders, and no new connection can be made.
    one_way,
    /// Packets are lost at random and sent again later.
    lossy,
    /// A share of the calls is not answered, and start and stop orders among them are carried out 2 to 12 s later.
    unanswered,
};

/// Determines the transport of every order to a worker. The same fault and seed give the same transports.
class worker_path {
public:
    worker_path() = default;
    worker_path(path_fault fault, std::uint32_t seed);
    /// Returns a path on which `share` of the calls is not answered.
    static worker_path losing(double share, std::uint32_t seed);

    order_transport nextOrder();
    order_transport nextPoll();
    bool losesAnswers() const { return m_fault == path_fault::one_way; }

private:
    std::chrono::milliseconds retransmissionDelay();
    bool losesPacket();
    bool losesCall();

    path_fault m_fault = path_fault::none;
    std::mt19937 m_random;
    double m_lostShare = 0;
    int m_openConnections = 0;
    bool m_pollConnectionOpen = false;
};

} // namespace coriandermount::fakes
