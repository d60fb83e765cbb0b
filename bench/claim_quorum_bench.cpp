// Computes message cost and availability of quorums for claims, over all states of the VMs and over partitions between failure
// domains.
//
// Compares a majority of the home domain's VMs with the sets of Basmadjian and de Meer, "An Arbitrary 2D Structured Replica
// Control Protocol" (KiVS 2011): a read takes one replica of each level, a write all replicas of one level; here a level is a
// failure domain. A claim has to read and write, so that of two claims on a key at least one sees the other.
#include <bit>
#include <cmath>
#include <cstdint>
#include <functional>
#include <vector>

#include <fmt/format.h>

namespace {

/// Number of failure domains and of VMs in each.
struct layout {
    unsigned domains = 0;
    unsigned vmsPerDomain = 0;

    unsigned count() const { return domains * vmsPerDomain; }
    /// Returns the bits of the VMs of a failure domain.
    std::uint32_t domainMask(unsigned domain) const { return ((1U << vmsPerDomain) - 1U) << (domain * vmsPerDomain); }
};

/// Returns whether a claim succeeds with the given set of reachable VMs, one bit for each VM.
using claim_rule = std::function<bool(const layout&, std::uint32_t)>;

/// Requires a majority of the VMs of the home domain, which is the first one.
bool homeMajority(const layout& shape, std::uint32_t reachable)
{
    return static_cast<unsigned>(std::popcount(reachable & shape.domainMask(0))) > shape.vmsPerDomain / 2;
}

/// Requires a majority of the VMs of all failure domains.
bool allMajority(const layout& shape, std::uint32_t reachable)
{
    return static_cast<unsigned>(std::popcount(reachable)) > shape.count() / 2;
}

/// Requires one VM of each level, as a read of the structured protocol does.
bool oneOfEachLevel(const layout& shape, std::uint32_t reachable)
{
    for (unsigned domain = 0; domain < shape.domains; ++domain) {
        if ((reachable & shape.domainMask(domain)) == 0)
            return false;
    }
    return true;
}

/// Requires all VMs of one level, as a write of the structured protocol does.
bool wholeLevel(const layout& shape, std::uint32_t reachable)
{
    for (unsigned domain = 0; domain < shape.domains; ++domain) {
        if ((reachable & shape.domainMask(domain)) == shape.domainMask(domain))
            return true;
    }
    return false;
}

bool structuredQuorum(const layout& shape, std::uint32_t reachable)
{
    return oneOfEachLevel(shape, reachable) && wholeLevel(shape, reachable);
}

/// Returns the probability that a claim succeeds when each VM is up with probability `up`.
double availability(const layout& shape, double up, const claim_rule& rule)
{
    double sum = 0;
    for (std::uint32_t state = 0; state < 1U << shape.count(); ++state) {
        const int alive = std::popcount(state);
        if (rule(shape, state))
            sum += std::pow(up, alive) * std::pow(1 - up, static_cast<int>(shape.count()) - alive);
    }
    return sum;
}

/// Returns the share of (caller's domain, home domain) pairs that can claim while one failure domain is partitioned from all
/// others.
double shareDuringPartition(const layout& shape, const claim_rule& rule, bool homeOnly)
{
    unsigned served = 0;
    unsigned pairs = 0;
    const std::uint32_t all = (1U << shape.count()) - 1U;
    const unsigned partitionedDomain = shape.domains - 1;
    for (unsigned caller = 0; caller < shape.domains; ++caller) {
        const std::uint32_t reachable
            = caller == partitionedDomain ? shape.domainMask(partitionedDomain) : all & ~shape.domainMask(partitionedDomain);
        for (unsigned home = 0; home < shape.domains; ++home) {
            ++pairs;
            if (homeOnly ? (reachable & shape.domainMask(home)) != 0 : rule(shape, reachable))
                ++served;
        }
    }
    return static_cast<double>(served) / pairs;
}

void report(const char* name, const layout& shape, const claim_rule& rule, bool homeOnly, double messages, double milliseconds)
{
    fmt::print("{:<44} {:>9.0f} {:>10.1f} {:>13.6f} {:>13.6f} {:>11.2f}\n", name, messages, milliseconds,
        availability(shape, 0.99, rule), availability(shape, 0.9, rule), shareDuringPartition(shape, rule, homeOnly));
}

void compare(const layout& shape, double interDomainDelay)
{
    constexpr double intraDomainDelay = 0.2;
    fmt::print("\n{} domains of {} VMs, {} ms one way between domains\n", shape.domains, shape.vmsPerDomain, interDomainDelay);
    fmt::print(
        "{:<44} {:>9} {:>10} {:>13} {:>13} {:>11}\n", "", "messages", "added ms", "VM up 0.99", "VM up 0.9", "partitioned");
    const unsigned homeQuorum = shape.vmsPerDomain / 2 + 1;
    const unsigned allQuorum = shape.count() / 2 + 1;
    // The caller's VM calls the coordinator, which calls the other VMs of the quorum. Each message has a reply.
    report("majority of the home domain, home is here", shape, homeMajority, true, 2.0 * homeQuorum,
        2 * intraDomainDelay + 2 * intraDomainDelay);
    report("majority of the home domain, home elsewhere", shape, homeMajority, true, 2.0 * homeQuorum,
        2 * interDomainDelay + 2 * intraDomainDelay);
    report("majority of all VMs", shape, allMajority, false, 2.0 * (allQuorum - 1), 2 * interDomainDelay);
    // One read round over all levels, then one write round over the replicas of the level of the caller.
    report("one of each level, then a whole level", shape, structuredQuorum, false,
        2.0 * (shape.domains - 1) + 2.0 * (shape.vmsPerDomain - 1), 2 * interDomainDelay + 2 * intraDomainDelay);
}

} // namespace

int main()
{
    compare({ 4, 2 }, 1.5);
    compare({ 3, 3 }, 0.5);
    compare({ 4, 3 }, 1.5);
    const unsigned levels = 4;
    fmt::print(
        "\nWrites of two different levels have no VM in common: {} of {} pairs of levels. Two claims that both read before "
        "either wrote are both granted there, so the structured sets need a further round.\n",
        levels * (levels - 1), levels * levels);
    return 0;
}
