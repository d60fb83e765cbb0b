#include "claims/view.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "claims/issued_id.h"
#include "claims/message_codec.h"

namespace coriandermount::claims {

std::size_t claimQuorum(std::size_t members) { return members / 2 + 1; }

std::size_t closeQuorum(std::size_t members) { return members - claimQuorum(members) + 1; }

std::uint64_t rendezvousWeight(const job_key& key, const std::string& candidate)
{
    const std::string text = key.customer.value + '\n' + key.name + '\n' + candidate;
    return XXH3_64bits_withSeed(text.data(), text.size(), static_cast<std::uint64_t>(key.issuedAt.time_since_epoch().count()));
}

std::vector<view_member> rankMembers(const claim_view& view, const job_key& key)
{
    std::vector<std::pair<std::uint64_t, view_member>> weighted;
    weighted.reserve(view.members.size());
    for (const auto& member : view.members)
        weighted.emplace_back(rendezvousWeight(key, member.vm.id.value), member);
    std::sort(weighted.begin(), weighted.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<view_member> ranked;
    ranked.reserve(weighted.size());
    for (auto& entry : weighted)
        ranked.push_back(std::move(entry.second));
    if (ranked.size() > 2) {
        const std::string ownerRack = ranked.front().rack;
        std::stable_partition(
            ranked.begin() + 1, ranked.end(), [&ownerRack](const view_member& member) { return member.rack != ownerRack; });
    }
    return ranked;
}

failure_domain_id homeDomainOf(const job_key& key, std::span<const failure_domain_id> domains)
{
    if (const auto issued = parseIssuedId(key.name))
        return issued->domain;
    const failure_domain_id* best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto& domain : domains) {
        const std::uint64_t weight = rendezvousWeight(key, domain.value);
        if (!best || weight > bestWeight) {
            best = &domain;
            bestWeight = weight;
        }
    }
    return best ? *best : failure_domain_id {};
}

std::string encodeView(const claim_view& view) { return nlohmann::json(view).dump(); }

result<claim_view> decodeView(const std::string& text)
{
    try {
        return nlohmann::json::parse(text).get<claim_view>();
    } catch (const nlohmann::json::exception& problem) {
        return fail(error_kind::malformed_request, problem.what());
    }
}

} // namespace coriandermount::claims
