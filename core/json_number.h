/// Numbers of JSON and MessagePack messages from outside.
#pragma once

#include <chrono>
#include <cmath>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace coriandermount {

/// Returns the number in `value`, without its fraction. Throws an exception of the JSON library if `value` is no number, or if it
/// does not fit into the type: the library would convert it to another number silently.
template <class Number> Number numberIn(const nlohmann::json& value)
{
    std::optional<Number> number;
    if (value.is_number_unsigned() && std::in_range<Number>(value.get<std::uint64_t>()))
        number = static_cast<Number>(value.get<std::uint64_t>());
    else if (value.is_number_integer() && !value.is_number_unsigned() && std::in_range<Number>(value.get<std::int64_t>()))
        number = static_cast<Number>(value.get<std::int64_t>());
    else if (value.is_number_float()) {
        // The largest number of the type plus 1 is a power of two, which a double represents exactly.
        const double whole = std::trunc(value.get<double>());
        const double end = std::ldexp(1.0, std::numeric_limits<Number>::digits);
        if (whole < end && whole >= (std::numeric_limits<Number>::is_signed ? -end : 0.0))
            number = static_cast<Number>(whole);
    }
    if (!number)
        throw nlohmann::json::out_of_range::create(406,
            "a number is missing or out of range: "
                + value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace).substr(0, 64),
            nullptr);
    return *number;
}

/// Returns the number in the field `name`, or `otherwise` if there is no such field. Throws like `numberIn`.
template <class Number> Number numberField(const nlohmann::json& fields, const char* name, Number otherwise)
{
    const auto found = fields.find(name);
    return found == fields.end() ? otherwise : numberIn<Number>(*found);
}

/// Longest time that `durationIn` accepts: sums with it don't overflow.
inline constexpr std::chrono::milliseconds longestDuration = std::chrono::hours(24 * 365);

/// Returns the time in milliseconds in `value`. Throws like `numberIn`, and for times below 0 or above `longestDuration`.
inline std::chrono::milliseconds durationIn(const nlohmann::json& value)
{
    const std::chrono::milliseconds time(numberIn<std::int64_t>(value));
    if (time.count() < 0 || time > longestDuration)
        throw nlohmann::json::out_of_range::create(
            406, "a time is out of range: " + std::to_string(time.count()) + " ms", nullptr);
    return time;
}

/// Returns the numbers in an array. Throws like `numberIn`.
template <class Number> std::vector<Number> numbersIn(const nlohmann::json& values)
{
    std::vector<Number> numbers;
    for (const auto& value : values)
        numbers.push_back(numberIn<Number>(value));
    return numbers;
}

} // namespace coriandermount
