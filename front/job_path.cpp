#include "front/job_path.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace coriandermount::front {

result<job_key> keyFromPath(std::string_view path, std::string_view prefix)
{
    path.remove_prefix(std::min(path.size(), prefix.size() + 1));
    const std::size_t customerEnd = path.find('/');
    const std::size_t nameEnd = customerEnd == std::string_view::npos ? customerEnd : path.find('/', customerEnd + 1);
    if (nameEnd == std::string_view::npos)
        return fail(error_kind::malformed_request, fmt::format("the path must be {}/CUSTOMER/JOB/ISSUED_AT_MS", prefix));
    const std::string_view issuedAtText = path.substr(nameEnd + 1, path.find('/', nameEnd + 1) - nameEnd - 1);
    std::int64_t issuedAt = 0;
    const auto [end, problem] = std::from_chars(issuedAtText.data(), issuedAtText.data() + issuedAtText.size(), issuedAt);
    if (problem != std::errc() || end != issuedAtText.data() + issuedAtText.size())
        return fail(
            error_kind::malformed_request, fmt::format("\"{}\" is not an issue time in milliseconds since 1970", issuedAtText));
    job_key key;
    key.customer.value = path.substr(0, customerEnd);
    key.name = path.substr(customerEnd + 1, nameEnd - customerEnd - 1);
    key.issuedAt = wall_time(std::chrono::milliseconds(issuedAt));
    return key;
}

} // namespace coriandermount::front
