#pragma once

#include <string>
#include <vector>

namespace Bergamot {

/// Lines up columns of text for people.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> header);

    /// Rows shorter than the header are filled up with empty cells.
    void addRow(std::vector<std::string> row);
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

}
