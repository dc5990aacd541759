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

/// Writes one line of key=value pairs for each event, to standard error unless another stream is set. Lines of the same
/// event above MaxLinesPerSecond are counted and summed up in the next line, so that a fault cannot flood the log. A
/// reader that does not keep up never blocks the process: lines that find a full pipe are dropped and counted.
class Logger {
public:
    static constexpr uint32_t maxLinesPerSecond = 20;

    static Logger& the();

    void setLevel(LogLevel level) { m_level = level; }
    /// Daemons log to standard output, which operators collect. Tools print results there and keep the default.
    void setStream(std::FILE* stream) { m_stream = stream; }
    void setProcessName(std::string name) { m_processName = std::move(name); }

    void log(LogLevel, std::string_view event, std::initializer_list<LogField> fields);

    /// Quotes a value when it is empty or holds spaces, quotes, equals signs or control characters.
    static std::string quoted(std::string_view value);

private:
    bool mayBlock() const;

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

    /// Lines that found a full pipe since the last line that was written.
    uint64_t m_dropped { 0 };
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
