#pragma once

#include <string>
#include <vector>

namespace Bergamot {

/// A text table with aligned columns.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> header);

    /// Pads a row shorter than the header with empty cells.
    void addRow(std::vector<std::string> row);
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

}
