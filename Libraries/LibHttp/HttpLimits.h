#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <limits>

namespace Bergamot {

/// What a server takes from one connection, and how long it waits for it.
struct HttpLimits {
    /// Of a whole request: its request line, headers and body. A larger one is answered 413.
    size_t maxRequestBytes { size_t { 64 } << 10 };

    /// Of the body alone. A larger one is answered 413.
    size_t maxBodyBytes { std::numeric_limits<size_t>::max() };

    /// Of the request line and the headers. Larger ones are answered 431.
    size_t maxHeaderBytes { size_t { 16 } << 10 };

    /// Header lines of one request. More are answered 431.
    size_t maxHeaders { 100 };

    /// From the first byte of a request until its headers are complete, then 408; and from the connect until the first
    /// byte, then a close.
    Milliseconds headerTimeout { 5000 };

    /// From the end of the headers until the body is complete; then 408.
    Milliseconds bodyTimeout { 30'000 };

    /// From an answer until the first byte of the next request, and for the caller to take an answer; then a close.
    Milliseconds idleTimeout { 60'000 };

    bool operator==(const HttpLimits&) const = default;
};

}
