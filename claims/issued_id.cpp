#include "claims/issued_id.h"

#include <array>
#include <charconv>

#include <fmt/format.h>

namespace coriandermount::claims {

namespace {

    constexpr std::size_t fieldCount = 6;
    constexpr std::string_view prefix = "i";

    bool readNumber(std::string_view text, std::uint64_t& number)
    {
        const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
        return problem == std::errc() && end == text.data() + text.size();
    }

} // namespace

std::string formatIssuedId(const issued_id& id)
{
    return fmt::format("{}:{}:{}:{}:{}:{}", prefix, id.domain.value, id.view, id.vm.value, id.incarnation, id.number);
}

std::optional<issued_id> parseIssuedId(std::string_view text)
{
    std::array<std::string_view, fieldCount> fields;
    for (std::size_t index = 0; index < fieldCount; ++index) {
        const std::size_t end = index + 1 == fieldCount ? text.size() : text.find(':');
        if (end == std::string_view::npos)
            return std::nullopt;
        fields[index] = text.substr(0, end);
        text.remove_prefix(index + 1 == fieldCount ? end : end + 1);
    }
    issued_id id;
    id.domain.value = fields[1];
    id.vm.value = fields[3];
    const bool numbersRead
        = readNumber(fields[2], id.view) && readNumber(fields[4], id.incarnation) && readNumber(fields[5], id.number);
    if (fields[0] != prefix || !numbersRead)
        return std::nullopt;
    return id;
}

} // namespace coriandermount::claims
