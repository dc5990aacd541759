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

    /// Sends the request on a new connection. When a reused connection turns out to be closed, libcurl retries the
    /// request although the server may have executed it, so a non-idempotent request needs a new connection.
    bool freshConnection { false };

    /// The call fails with Unavailable where libcurl would send the request again: a reused connection was closed
    /// without an answer. Unlike a new connection, this costs nothing, but a server that closes idle connections fails
    /// some calls.
    bool isSentOnce { false };

    /// When not empty, it is sent as X-Request-Id. A reply with another X-Request-Id, or with none, belongs to another
    /// request, so the call fails with Unavailable.
    std::string requestId {};
};

}
