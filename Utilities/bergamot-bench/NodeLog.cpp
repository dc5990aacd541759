#include "NodeLog.h"
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <optional>

namespace Bergamot {

/// Reads the time of a log line, which begins with "ts=" and seconds with three decimals.
static std::optional<Milliseconds> timeOf(std::string_view line)
{
    constexpr std::string_view prefix = "ts=";
    auto point = line.find('.');
    if (!line.starts_with(prefix) || point == std::string_view::npos)
        return std::nullopt;
    int64_t seconds = 0;
    int64_t millis = 0;
    std::from_chars(line.data() + prefix.size(), line.data() + point, seconds);
    std::from_chars(line.data() + point + 1, line.data() + line.size(), millis);
    return Milliseconds { 1000 * seconds + millis };
}

std::vector<Milliseconds> NodeLog::timesOf(std::string_view event) const
{
    std::vector<Milliseconds> times;
    std::ifstream file(m_path);
    auto field = fmt::format(" event={} ", event);
    for (std::string line; std::getline(file, line);) {
        if (line.find(field) == std::string::npos)
            continue;
        if (auto time = timeOf(line))
            times.push_back(*time);
    }
    return times;
}

}
