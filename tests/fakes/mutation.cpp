#include "tests/fakes/mutation.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

namespace coriandermount::fakes {

namespace {

    constexpr std::array<std::string_view, 14> replacements { "-1", "0", "4294967296", "9223372036854775807",
        "-9223372036854775808", "18446744073709551615", "1e308", "-0.5", "null", "true", "\"\"", "\"x\"", "[]", "{}" };

    void replaceToken(std::string& message, std::size_t at, std::mt19937& random)
    {
        const auto isToken = [](unsigned char symbol) { return std::isalnum(symbol) != 0 || symbol == '-' || symbol == '"'; };
        const auto first = std::find_if(message.begin() + static_cast<std::ptrdiff_t>(at), message.end(), isToken);
        if (first == message.end())
            return;
        const auto last
            = *first == '"' ? std::find(first + 1, message.end(), '"') : std::find_if_not(first, message.end(), isToken);
        const std::string_view with = replacements[random() % replacements.size()];
        message.replace(first, last == message.end() || *first != '"' ? last : last + 1, with.begin(), with.end());
    }

    void changeOnce(std::string& message, std::mt19937& random)
    {
        if (message.empty()) {
            message.push_back(static_cast<char>(random()));
            return;
        }
        const std::size_t at = random() % message.size();
        const std::size_t length = 1 + random() % 8;
        switch (random() % 8) {
        case 0:
            message[at] = static_cast<char>(random());
            break;
        case 1:
            message.erase(at, length);
            break;
        case 2:
            message.insert(at, 1, static_cast<char>(random()));
            break;
        case 3:
            message.insert(at, message.substr(at, length));
            break;
        case 4:
            message.resize(at);
            break;
        default:
            replaceToken(message, at, random);
        }
    }

} // namespace

std::string mutated(const std::string& message, std::mt19937& random)
{
    std::string changed = message;
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t number = 0; number < changes; ++number)
        changeOnce(changed, random);
    return changed;
}

} // namespace coriandermount::fakes
