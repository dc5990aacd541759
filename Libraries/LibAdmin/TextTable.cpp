#include <LibAdmin/TextTable.h>
#include <algorithm>

namespace Bergamot {

TextTable::TextTable(std::vector<std::string> header)
    : m_rows { std::move(header) }
{
}

void TextTable::addRow(std::vector<std::string> row)
{
    row.resize(m_rows.front().size());
    m_rows.push_back(std::move(row));
}

std::string TextTable::text() const
{
    std::vector<size_t> widths(m_rows.front().size());
    for (const auto& row : m_rows) {
        for (size_t n = 0; n < row.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    }
    std::string text;
    for (const auto& row : m_rows) {
        std::string line;
        for (size_t n = 0; n < row.size(); ++n)
            line += row[n] + std::string(widths[n] - row[n].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

}
