#pragma once

#include <LibHttp/HttpCall.h>
#include <LibHttp/HttpReply.h>
#include <absl/status/statusor.h>
#include <cstddef>
#include <curl/curl.h>

namespace Bergamot {

/// One transfer on one libcurl easy handle: sets the options, collects the reply and converts the result to a
/// status. libcurl holds pointers to the object, so it must not move while the transfer runs.
class CurlRequest {
public:
    CurlRequest(CURL* handle, HttpCall);
    ~CurlRequest();
    CurlRequest(const CurlRequest&) = delete;
    CurlRequest& operator=(const CurlRequest&) = delete;

    /// Returns Aborted when the transfer failed before the request was sent, so the server has not executed it. Returns
    /// DeadlineExceeded on a time-out and Unavailable on any other failure; the server may have executed the request.
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

    /// libcurl retries a request when the reused connection turns out to be closed. If the new connection is refused,
    /// libcurl reports the error of a request that was never sent, although the server may have executed the first
    /// attempt.
    bool m_mayHaveBeenSent { false };
};

}
