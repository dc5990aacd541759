#pragma once

#include <LibCore/Time.h>
#include <string>

namespace Bergamot {

/// A request to the admin API (docs/admin-api.md).
struct AdminRequest {
    std::string method { "GET" };
    /// Path and query, percent-encoded.
    std::string path {};
    /// JSON text; empty when the request has no body.
    std::string body {};
    /// The request may be sent to another entry host when its reply is lost.
    bool isRetryable { true };
    Milliseconds timeout { 10'000 };

    bool operator==(const AdminRequest&) const = default;
};

}
