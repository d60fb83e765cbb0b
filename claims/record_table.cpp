#include "claims/record_table.h"

#include <xxhash.h>

namespace coriandermount::claims {

record_table::key_hash record_table::hashOf(const job_key& key)
{
    const std::string text = key.customer.value + '\n' + key.name;
    const XXH128_hash_t hash
        = XXH3_128bits_withSeed(text.data(), text.size(), static_cast<std::uint64_t>(key.issuedAt.time_since_epoch().count()));
    return { hash.high64, hash.low64 };
}

std::uint32_t record_table::indexOf(const vm_ref& vm)
{
    const auto found = std::find(m_runners.begin(), m_runners.end(), vm);
    if (found != m_runners.end())
        return static_cast<std::uint32_t>(found - m_runners.begin());
    m_runners.push_back(vm);
    return static_cast<std::uint32_t>(m_runners.size() - 1);
}

std::optional<claim_record> record_table::find(const job_key& key) const
{
    const auto found = m_records.find(hashOf(key));
    if (found == m_records.end())
        return std::nullopt;
    return claim_record { { m_runners[found->second.runner], found->second.attempt }, found->second.contentDigest };
}

void record_table::put(const job_key& key, const claim_record& record)
{
    m_records[hashOf(key)] = { record.holder.number, record.contentDigest, key.issuedAt, indexOf(record.holder.runner) };
}

void record_table::erase(const job_key& key, const attempt_ref& attempt)
{
    const auto found = m_records.find(hashOf(key));
    if (found == m_records.end())
        return;
    if (found->second.attempt == attempt.number && m_runners[found->second.runner].sameIncarnation(attempt.runner))
        m_records.erase(found);
}

std::size_t record_table::eraseIssuedBefore(wall_time oldest)
{
    return std::erase_if(m_records, [oldest](const auto& entry) { return entry.second.issuedAt < oldest; });
}

} // namespace coriandermount::claims
