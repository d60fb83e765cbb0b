/// What one VM has voted for, by job key.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "claims/message.h"

namespace coriandermount::claims {

/// Holds one small record per key, under the key's 128-bit hash.
class record_table {
public:
    std::optional<claim_record> find(const job_key& key) const;

    void put(const job_key& key, const claim_record& record);

    /// Erases the record of a key if it belongs to that attempt.
    void erase(const job_key& key, const attempt_ref& attempt);

    /// Erases records of keys issued before `oldest`; returns how many.
    std::size_t eraseIssuedBefore(wall_time oldest);

    std::size_t size() const { return m_records.size(); }

private:
    struct key_hash {
        std::uint64_t high = 0;
        std::uint64_t low = 0;

        friend bool operator==(const key_hash&, const key_hash&) = default;
    };
    struct take_low {
        std::size_t operator()(const key_hash& hash) const { return hash.low; }
    };
    struct stored {
        std::uint64_t attempt = 0;
        std::uint64_t contentDigest = 0;
        wall_time issuedAt {};
        std::uint32_t runner = 0;
    };

    static key_hash hashOf(const job_key& key);
    std::uint32_t indexOf(const vm_ref& vm);

    std::unordered_map<key_hash, stored, take_low> m_records;
    /// Runners that records refer to by index.
    std::vector<vm_ref> m_runners;
};

} // namespace coriandermount::claims
