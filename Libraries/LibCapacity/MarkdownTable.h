#pragma once

#include <string>
#include <vector>

namespace Bergamot {

/// Builds a Markdown table. Rows shorter than the header are padded with empty cells; cells beyond the header are
/// dropped.
class MarkdownTable {
public:
    explicit MarkdownTable(std::vector<std::string> header);

    void addRow(std::vector<std::string> cells);
    std::string text() const;

private:
    std::vector<std::string> m_header;
    std::vector<std::vector<std::string>> m_rows;
};

/// Formats a number with three significant digits, in fixed-point notation from 0.001 to a million and with an exponent
/// outside that range.
std::string formatSignificantDigits(double);

}
