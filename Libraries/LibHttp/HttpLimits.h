#pragma once

#include <cstddef>

namespace Bergamot {

/// What a server takes from one connection.
struct HttpLimits {
    /// Of a whole request: its request line, headers and body. A larger one is answered 413.
    size_t maxRequestBytes { size_t { 64 } << 10 };

    bool operator==(const HttpLimits&) const = default;
};

}
