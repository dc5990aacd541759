#pragma once

#include <LibCore/LogField.h>
#include <cstdint>
#include <cstdio>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace Bergamot {

enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

/// Writes one line of key=value pairs for each event, to standard error unless another stream is set. When an
/// event exceeds `maxLinesPerSecond`, its further lines are suppressed, and the next line of the event has their number
/// in the field `suppressed`, so that a fault cannot flood the log. A slow reader never blocks the process: while the
/// pipe is full, lines are dropped, and the next line has their number in the field `dropped`.
class Logger {
public:
    static constexpr uint32_t maxLinesPerSecond = 20;

    static Logger& the();

    void setLevel(LogLevel level) { m_level = level; }
    /// Daemons set standard output, which operators collect. Tools print their results there and keep the default.
    void setStream(std::FILE* stream) { m_stream = stream; }
    void setProcessName(std::string name) { m_processName = std::move(name); }

    void log(LogLevel, std::string_view event, std::initializer_list<LogField> fields);

    /// Quotes a value when it is empty or contains spaces, quotes, backslashes, equals signs or control characters.
    static std::string quoted(std::string_view value);

private:
    bool wouldBlock() const;

    struct EventBudget {
        int64_t second { 0 };
        uint32_t lines { 0 };
        uint32_t suppressed { 0 };
    };

    std::mutex m_mutex;
    std::map<std::string, EventBudget, std::less<>> m_budgets;
    std::string m_processName;
    LogLevel m_level { LogLevel::Info };
    std::FILE* m_stream { stderr };

    /// Number of lines dropped because of a full pipe since the last line written.
    uint64_t m_droppedLines { 0 };
};

inline void logDebug(std::string_view event, std::initializer_list<LogField> fields)
{
    Logger::the().log(LogLevel::Debug, event, fields);
}

inline void logInfo(std::string_view event, std::initializer_list<LogField> fields)
{
    Logger::the().log(LogLevel::Info, event, fields);
}

inline void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    Logger::the().log(LogLevel::Warning, event, fields);
}

inline void logError(std::string_view event, std::initializer_list<LogField> fields)
{
    Logger::the().log(LogLevel::Error, event, fields);
}

}
