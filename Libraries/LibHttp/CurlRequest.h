#pragma once

#include <LibHttp/HttpCall.h>
#include <LibHttp/HttpReply.h>
#include <absl/status/statusor.h>
#include <cstddef>
#include <curl/curl.h>

namespace Bergamot {

/// One transfer on one libcurl easy handle: sets the options, collects the answer and turns the result into a value.
/// The object must not move while the transfer runs.
class CurlRequest {
public:
    CurlRequest(CURL* handle, HttpCall);
    ~CurlRequest();
    CurlRequest(const CurlRequest&) = delete;
    CurlRequest& operator=(const CurlRequest&) = delete;

    /// A failure before the request was sent is Aborted: the server surely did not run it. A timeout is
    /// DeadlineExceeded and any other failure Unavailable: the effect is unknown.
    absl::StatusOr<HttpReply> finish(CURLcode);

    CURL* handle() const { return m_handle; }

private:
    static size_t onBody(char* data, size_t size, size_t count, void* self);
    static int onBeforeRequest(void* self, char* primaryIp, char* localIp, int primaryPort, int localPort);
    static size_t onHeader(char* data, size_t size, size_t count, void* self);
    void applyOptions();

    CURL* m_handle;
    HttpCall m_call;
    HttpReply m_reply;
    curl_slist* m_headerList { nullptr };

    /// libcurl repeats a request whose reused connection has died. When the new connection is refused, the result is
    /// that of a request that was never sent, although the server may have run the first one.
    bool m_mayHaveBeenSent { false };
};

}
