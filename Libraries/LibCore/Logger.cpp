#include <LibCore/Logger.h>
#include <LibCore/Time.h>
#include <array>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <poll.h>
#include <utility>

namespace Bergamot {

static constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };

Logger& Logger::the()
{
    static Logger logger;
    return logger;
}

std::string Logger::quoted(std::string_view value)
{
    bool isPlain = !value.empty();
    for (unsigned char c : value)
        isPlain = isPlain && c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f;
    if (isPlain)
        return std::string(value);
    std::string out = "\"";
    for (unsigned char c : value) {
        if (c == '"' || c == '\\')
            out += { '\\', static_cast<char>(c) };
        else if (c == '\n')
            out += "\\n";
        else if (c < ' ' || c == 0x7f)
            fmt::format_to(std::back_inserter(out), "\\x{:02x}", c);
        else
            out += static_cast<char>(c);
    }
    return out + '"';
}

/// True when writing a line could block because the stream is a full pipe. A pipe that polls as writable accepts
/// PIPE_BUF bytes (4,096) without blocking, more than the longest line has.
bool Logger::wouldBlock() const
{
    pollfd descriptor { .fd = fileno(m_stream), .events = POLLOUT, .revents = 0 };
    return poll(&descriptor, 1, 0) == 0;
}

void Logger::log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < m_level)
        return;
    auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::lock_guard lock(m_mutex);
    auto it = m_budgets.find(event);
    if (it == m_budgets.end())
        it = m_budgets.emplace(std::string(event), EventBudget {}).first;
    auto& budget = it->second;
    if (budget.second != now / 1000) {
        budget.second = now / 1000;
        budget.lines = 0;
    }
    if (++budget.lines > maxLinesPerSecond) {
        ++budget.suppressed;
        return;
    }
    if (wouldBlock()) {
        ++m_droppedLines;
        return;
    }
    auto line = fmt::format("ts={}.{:03} level={} process={} event={}", now / 1000, now % 1000,
        levelNames[static_cast<size_t>(level)], quoted(m_processName), quoted(event));
    for (const auto& field : fields)
        fmt::format_to(std::back_inserter(line), " {}={}", field.key, quoted(field.value));
    if (budget.suppressed > 0)
        fmt::format_to(std::back_inserter(line), " suppressed={}", std::exchange(budget.suppressed, 0));
    if (m_droppedLines > 0)
        fmt::format_to(std::back_inserter(line), " dropped={}", std::exchange(m_droppedLines, 0));
    constexpr size_t maxLineLength = 4000;
    if (line.size() > maxLineLength)
        line.resize(maxLineLength);
    fmt::print(m_stream, "{}\n", line);
    std::fflush(m_stream);
}

}
