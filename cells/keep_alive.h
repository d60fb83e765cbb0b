/// Keep-alives, by which a VM tells an owner of a cell which of its requests callers still wait for, and their encoding.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/error.h"

namespace coriandermount::cells {

/// Largest number of requests in one keep-alive, so that it fits into a datagram of 1,400 bytes with up to 5 bytes each.
inline constexpr std::size_t mostRequestsKeptAlive = 256;

/// Requests of one router whose callers wait.
struct keep_alive {
    /// Number of the router, as in `jobs::request_id`.
    std::uint64_t sender = 0;
    /// Numbers of the requests in ascending order.
    std::vector<std::uint64_t> requests;
};

/// Returns whether a datagram of another VM is a keep-alive. The other ones are heartbeats.
bool isKeepAlive(const std::string& datagram);

/// Returns the datagram that carries a keep-alive.
std::string encode(const keep_alive& current);
/// Returns the keep-alive in `datagram`, or `malformed_request` if it cannot be decoded.
result<keep_alive> decodeKeepAlive(const std::string& datagram);

} // namespace coriandermount::cells
