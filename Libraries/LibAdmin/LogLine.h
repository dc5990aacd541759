#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Bergamot {

/// One line that a process has logged.
struct LogLine {
    /// Unix time.
    int64_t atMs { 0 };
    std::string process {};
    std::string event {};
    std::map<std::string, std::string> fields {};

    /// Nothing for a line that has no time or event. Text before "ts=" is skipped, as log collectors put it there.
    static std::optional<LogLine> parse(std::string_view text);

    std::string field(const std::string& name) const;

    /// 0 when the field is missing or no number.
    int64_t number(const std::string& name) const;

    bool operator==(const LogLine&) const = default;
};

}
