#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Bergamot {

/// A parsed log line of a process.
struct LogLine {
    /// Unix time in milliseconds.
    int64_t atMs { 0 };
    std::string process {};
    std::string event {};
    std::map<std::string, std::string> fields {};

    /// Returns nullopt for a line without a time or an event. Skips text before "ts=", which log collectors add.
    static std::optional<LogLine> parse(std::string_view text);

    std::string field(const std::string& name) const;

    /// Returns 0 when the field is missing or is not a number.
    int64_t number(const std::string& name) const;

    bool operator==(const LogLine&) const = default;
};

}
