#include <LibCapacity/MarkdownTable.h>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

MarkdownTable::MarkdownTable(std::vector<std::string> header)
    : m_header(std::move(header))
{
}

void MarkdownTable::addRow(std::vector<std::string> cells)
{
    cells.resize(m_header.size());
    m_rows.push_back(std::move(cells));
}

static std::string formatRow(const std::vector<std::string>& cells)
{
    std::string result = "|";
    for (const auto& cell : cells) {
        result += ' ';
        for (char c : cell) {
            // An unescaped bar would start a new cell, and a line break would end the row.
            if (c == '|')
                result += '\\';
            result += c == '\n' ? ' ' : c;
        }
        result += " |";
    }
    return result + '\n';
}

std::string MarkdownTable::text() const
{
    auto result = formatRow(m_header) + formatRow(std::vector<std::string>(m_header.size(), "---"));
    for (const auto& row : m_rows)
        result += formatRow(row);
    return result;
}

std::string formatSignificantDigits(double value)
{
    if (value == 0 || !std::isfinite(value))
        return fmt::format("{}", value);
    auto digits = 2 - static_cast<int>(std::floor(std::log10(std::abs(value))));
    if (digits > 5 || digits < -3)
        return fmt::format("{:.3g}", value);
    if (digits >= 0)
        return fmt::format("{:.{}f}", value, digits);
    auto unit = std::pow(10.0, -digits);
    return fmt::format("{:.0f}", std::round(value / unit) * unit);
}
}
