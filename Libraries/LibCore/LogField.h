#pragma once

#include <fmt/format.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// One key=value pair of a log line.
struct LogField {
    template <typename T>
    LogField(std::string_view fieldKey, const T& fieldValue)
        : key(fieldKey)
        , value(fmt::format("{}", fieldValue))
    {
    }

    std::string_view key;
    std::string value;
};

}
