/// Claims that one VM has recorded, by job key.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "claims/message.h"

namespace coriandermount::claims {

/// Holds one fixed-size record per key under the key's 128-bit hash. Not thread-safe.
class record_table {
public:
    /// Returns the record of a key; nothing if there is none.
    std::optional<claim_record> find(const job_key& key) const;

    /// Records a claim, replacing an earlier record of the key.
    void put(const job_key& key, const claim_record& record);

    /// Erases the record of a key if `attempt` holds the key.
    void erase(const job_key& key, const attempt_ref& attempt);

    /// Erases the records of keys issued before `oldest`. Returns the number of erased records.
    std::size_t eraseIssuedBefore(wall_time oldest);

    std::size_t size() const { return m_records.size(); }

private:
    struct key_hash {
        std::uint64_t high = 0;
        std::uint64_t low = 0;

        friend bool operator==(const key_hash&, const key_hash&) = default;
    };
    struct low_bits_hash {
        std::size_t operator()(const key_hash& hash) const { return hash.low; }
    };
    struct stored_record {
        std::uint64_t attempt = 0;
        std::uint64_t contentDigest = 0;
        wall_time issuedAt {};
        std::uint32_t runner = 0;
    };

    static key_hash hashOf(const job_key& key);
    std::uint32_t indexOf(const vm_ref& vm);

    std::unordered_map<key_hash, stored_record, low_bits_hash> m_records;
    /// Runners of the records, which refer to them by index.
    std::vector<vm_ref> m_runners;
};

} // namespace coriandermount::claims
