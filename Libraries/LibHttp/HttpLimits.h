#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <limits>

namespace Bergamot {

/// Size limits and time-outs that a server applies to each connection.
struct HttpLimits {
    /// Size limit of a whole request: request line, headers and body. A larger request gets status 413.
    size_t maxRequestBytes { size_t { 64 } << 10 };

    /// Size limit of the body. A larger body gets status 413.
    size_t maxBodyBytes { std::numeric_limits<size_t>::max() };

    /// Size limit of the request line and the headers together. Larger ones get status 431.
    size_t maxHeaderBytes { size_t { 16 } << 10 };

    /// Limit on the number of header lines of one request. More get status 431.
    size_t maxHeaders { 100 };

    /// Time from the first byte of a request until its headers are complete; on expiry the request gets status 408.
    /// Also the time from connect to the first byte; on expiry the connection is closed without a response.
    Milliseconds headerTimeout { 5000 };

    /// Time from the end of the headers until the body is complete; on expiry the request gets status 408.
    Milliseconds bodyTimeout { 30'000 };

    /// Time from a response to the first byte of the next request, and time for the peer to read a response; on expiry
    /// the connection is closed.
    Milliseconds idleTimeout { 60'000 };

    bool operator==(const HttpLimits&) const = default;
};

}
