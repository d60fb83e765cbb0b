#include "cli/duration.h"

#include <array>
#include <charconv>

#include <fmt/format.h>

namespace coriandermount::cli {

namespace {

    struct unit {
        std::string_view name;
        std::chrono::milliseconds length;
    };

    constexpr std::array units = std::to_array<unit>({ { "ms", std::chrono::milliseconds(1) }, { "s", std::chrono::seconds(1) },
        { "m", std::chrono::minutes(1) }, { "h", std::chrono::hours(1) } });
    constexpr std::int64_t maxNumber = 1000000;

} // namespace

result<std::chrono::milliseconds> parseDuration(const std::string& text)
{
    std::int64_t number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view name(end, static_cast<std::size_t>(text.data() + text.size() - end));
    if (problem == std::errc() && number >= 0 && number <= maxNumber) {
        for (const auto& candidate : units) {
            if (candidate.name == name)
                return number * candidate.length;
        }
    }
    return fail(error_kind::malformed_request, fmt::format("\"{}\" is not a duration such as 500ms, 90s, 10m or 2h", text));
}

} // namespace coriandermount::cli
