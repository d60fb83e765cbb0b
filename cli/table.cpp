#include "cli/table.h"

#include <algorithm>

#include <fmt/format.h>

namespace coriandermount::cli {

namespace {

    constexpr std::size_t columnGap = 2;

    std::string formatRow(const std::vector<std::string>& row, const std::vector<std::size_t>& widths)
    {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool last = column + 1 == row.size();
            line += last ? row[column] : fmt::format("{:<{}}", row[column], widths[column] + columnGap);
        }
        return line + "\n";
    }

} // namespace

table::table(std::vector<std::string> header)
    : m_rows { std::move(header) }
{
}

void table::add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }

std::string table::text(bool plain) const
{
    if (plain) {
        std::string lines;
        for (std::size_t row = 1; row < m_rows.size(); ++row)
            lines += fmt::format("{}\n", fmt::join(m_rows[row], "\t"));
        return lines;
    }
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto& row : m_rows) {
        for (std::size_t column = 0; column < std::min(row.size(), widths.size()); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string lines;
    for (const auto& row : m_rows)
        lines += formatRow(row, widths);
    return lines;
}

} // namespace coriandermount::cli
