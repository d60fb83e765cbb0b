/// Memory budget for request bodies that are being received or whose requests are not answered yet.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace coriandermount::net {

/// Why a request body is not received, or not to its end.
enum class body_refusal {
    /// The body is longer than the listener allows.
    too_long,
    /// The budget of the process is used up.
    memory,
    /// The budget for large bodies of one source address is used up.
    source_memory,
    /// The body has not arrived in the time that the listener allows.
    too_slow,
};

constexpr std::size_t bodyRefusalCount = 4;

/// Returns the name that is used in logs and metrics.
std::string_view nameOf(body_refusal refusal);

/// Limits of a `body_budget`, in bytes.
struct body_budget_limits {
    /// All bodies together.
    std::size_t total = 0;
    /// All bodies above `smallBody` together. The rest of `total` is left to small bodies.
    std::size_t large = 0;
    /// All bodies above `smallBody` from one source address together.
    std::size_t largePerSource = 0;
    /// Largest body that counts as small.
    std::size_t smallBody = 16 * 1024;
};

/// Returns the limits for a process with `memoryBytes` of memory: bodies may take a quarter of it, large ones half of that, and
/// large ones from one source address half of that again. Each listener can receive a body of `maxBodyBytes` in any case.
body_budget_limits bodyBudgetLimits(std::size_t memoryBytes, std::size_t maxBodyBytes);

/// Accounts the memory of request bodies over all listeners that share it. Thread-safe.
class body_budget {
public:
    explicit body_budget(body_budget_limits limits);

    body_budget(const body_budget&) = delete;
    body_budget& operator=(const body_budget&) = delete;

    /// IPv4 address of a client, in network byte order.
    using source = std::uint32_t;

    /// The part of the budget that one body holds. Given back when the claim is destroyed. Must not outlive the budget.
    class claim {
    public:
        claim(body_budget& budget, source client)
            : m_budget(budget)
            , m_source(client)
        {
        }
        ~claim() { m_budget.resize(m_source, m_bytes, 0); }

        claim(const claim&) = delete;
        claim& operator=(const claim&) = delete;

        /// Raises the claim to `bytes`; a claim that is as large already stays as it is. Returns the reason when the budget does
        /// not allow it; the claim is unchanged then.
        std::optional<body_refusal> raise(std::size_t bytes);

        /// Gives back the whole claim.
        void release();

    private:
        body_budget& m_budget;
        source m_source;
        std::size_t m_bytes = 0;
    };

    /// Counts a refused body, whatever the reason.
    void countRefusal(body_refusal reason);

    /// Returns the number of refused bodies since the start, by reason.
    std::array<std::uint64_t, bodyRefusalCount> refusals() const;

    /// Returns the number of bytes that are claimed.
    std::size_t claimedBytes() const { return m_total.load(std::memory_order_relaxed); }

private:
    std::optional<body_refusal> resize(source client, std::size_t from, std::size_t to);
    std::optional<body_refusal> resizeLarge(source client, std::size_t from, std::size_t to);
    bool addToTotal(std::size_t bytes);

    /// Returns the bytes that a body counts among the large ones.
    std::size_t largePart(std::size_t bytes) const { return bytes > m_limits.smallBody ? bytes : 0; }

    body_budget_limits m_limits;
    std::atomic<std::size_t> m_total { 0 };
    std::array<std::atomic<std::uint64_t>, bodyRefusalCount> m_refusals {};
    /// Guards the members below. Small bodies never take it.
    std::mutex m_mutex;
    std::size_t m_large = 0;
    std::unordered_map<source, std::size_t> m_largeBySource;
};

} // namespace coriandermount::net
