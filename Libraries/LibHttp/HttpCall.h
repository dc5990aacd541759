#pragma once

#include <LibCore/Time.h>
#include <LibHttp/HttpHeaders.h>
#include <LibHttp/SendLimit.h>
#include <string>

namespace Bergamot {

/// An outgoing HTTP request.
struct HttpCall {
    std::string method { "GET" };
    std::string url {};
    HttpHeaders headers {};
    std::string body {};
    Milliseconds timeout { 5000 };

    /// Sends the request on a new connection, which no server has closed as idle. For a call that is sent once and must
    /// not fail for that reason.
    bool freshConnection { false };

    SendLimit sendLimit;

    /// When not empty, it is sent as X-Request-Id. A reply with another X-Request-Id, or with none, belongs to another
    /// request, so the call fails with Unavailable.
    std::string requestId {};
};

}
