#pragma once

#include <LibCore/Time.h>
#include <LibHttp/HttpHeaders.h>
#include <string>

namespace Bergamot {

/// An outgoing HTTP request.
struct HttpCall {
    std::string method { "GET" };
    std::string url {};
    HttpHeaders headers {};
    std::string body {};
    Milliseconds timeout { 5000 };

    /// libcurl repeats a request by itself when a reused connection turns out to be dead, although the server may
    /// have run it. A non-idempotent request therefore needs a connection of its own.
    bool freshConnection { false };

    /// When set, it is sent as X-Request-Id, and a reply without the same value counts as no reply: it belongs to
    /// another call.
    std::string requestId {};
};

}
