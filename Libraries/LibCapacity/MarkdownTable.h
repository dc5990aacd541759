#pragma once

#include <string>
#include <vector>

namespace Bergamot {

/// A table for a Markdown page. Rows that are too short are filled with empty cells; further cells are left out.
class MarkdownTable {
public:
    explicit MarkdownTable(std::vector<std::string> header);

    void addRow(std::vector<std::string> cells);
    std::string text() const;

private:
    std::vector<std::string> m_header;
    std::vector<std::vector<std::string>> m_rows;
};

/// Three significant digits, without an exponent from 0.001 to a million.
std::string formatFigure(double);

}
