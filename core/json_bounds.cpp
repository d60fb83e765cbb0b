#include "core/json_bounds.h"

namespace coriandermount {

bool isWithin(std::string_view text, const json_bounds& bounds)
{
    std::size_t depth = 0;
    std::size_t values = 0;
    bool inString = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char current = text[index];
        if (inString) {
            if (current == '\\')
                ++index;
            else if (current == '"')
                inString = false;
            continue;
        }
        if (current == '"') {
            inString = true;
        } else if (current == '[' || current == '{') {
            ++values;
            ++depth;
        } else if (current == ',') {
            ++values;
        } else if ((current == ']' || current == '}') && depth > 0) {
            --depth;
        }
        if (depth > bounds.maxDepth || values > bounds.maxValues)
            return false;
    }
    return true;
}

} // namespace coriandermount
