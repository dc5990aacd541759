#pragma once

#include <LibHttp/HttpCall.h>
#include <LibHttp/HttpReply.h>
#include <absl/status/statusor.h>
#include <memory>

namespace Bergamot {

/// Blocking HTTP client on libcurl that reuses its connections. Only one thread may use it at a time.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(HttpClient&&) noexcept;
    HttpClient& operator=(HttpClient&&) noexcept;

    /// Returns the errors of CurlRequest::finish(). A reply with an HTTP error status is returned as a reply.
    absl::StatusOr<HttpReply> call(HttpCall);

private:
    struct Handle;
    std::unique_ptr<Handle> m_handle;
};

}
