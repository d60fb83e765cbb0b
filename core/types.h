/// Identifiers and time types used by every subsystem.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace coriandermount {

/// Monotonic time on one VM; times of different VMs are not comparable.
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

/// Wall-clock time with the resolution that is used on the wire.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Strongly typed text identifier: identifiers with different tags can't be assigned to or compared with each other.
template <class Tag> struct identifier {
    std::string value;

    friend auto operator<=>(const identifier&, const identifier&) = default;
};

struct vm_tag;
struct failure_domain_tag;
struct customer_tag;
struct worker_tag;
struct service_tag;
struct plan_tag;

using vm_id = identifier<vm_tag>;
using failure_domain_id = identifier<failure_domain_tag>;
using customer_id = identifier<customer_tag>;
using worker_id = identifier<worker_tag>;
using service_id = identifier<service_tag>;
using plan_id = identifier<plan_tag>;

/// Identifies a submission; a resubmission carries the same key.
struct job_key {
    customer_id customer;
    /// Name chosen by the caller, or issued by the dispatcher.
    std::string name;
    /// Time at which the name was created; limits how long claims on the key are remembered.
    wall_time issuedAt;

    friend auto operator<=>(const job_key&, const job_key&) = default;
};

/// Serial number of a job on the VM that runs it; it has no meaning on other VMs.
enum class job_serial : std::uint64_t {};

/// Serial number of a lease on the VM that granted it; strictly increasing.
enum class lease_id : std::uint64_t {};

} // namespace coriandermount

template <class Tag> struct std::hash<coriandermount::identifier<Tag>> {
    std::size_t operator()(const coriandermount::identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value);
    }
};

template <> struct std::hash<coriandermount::job_key> {
    std::size_t operator()(const coriandermount::job_key& key) const noexcept
    {
        constexpr std::size_t multiplier = 1099511628211U;
        std::size_t value = std::hash<std::string> {}(key.customer.value);
        value = value * multiplier ^ std::hash<std::string> {}(key.name);
        return value * multiplier ^ static_cast<std::size_t>(key.issuedAt.time_since_epoch().count());
    }
};
