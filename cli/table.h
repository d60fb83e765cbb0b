/// Formats rows of text in aligned columns.
#pragma once

#include <string>
#include <vector>

namespace coriandermount::cli {

/// Table with a header row. The other rows may have fewer cells than the header.
class table {
public:
    explicit table(std::vector<std::string> header);

    /// Appends a row.
    void add(std::vector<std::string> row);

    /// Returns the table with aligned columns. With `plain`, which is meant for pipes, cells are separated by tabs and the header
    /// is omitted.
    std::string text(bool plain) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace coriandermount::cli
