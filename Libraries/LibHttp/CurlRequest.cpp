#include <LibHttp/ConnectionRefused.h>
#include <LibHttp/CurlRequest.h>
#include <cerrno>
#include <fmt/format.h>
#include <string>
#include <string_view>
#include <utility>

namespace Bergamot {

static constexpr size_t maxReplyBytes = size_t { 64 } << 20;

CurlRequest::CurlRequest(CURL* handle, HttpCall call)
    : m_handle(handle)
    , m_call(std::move(call))
{
    applyOptions();
}

CurlRequest::~CurlRequest() { curl_slist_free_all(m_headerList); }

void CurlRequest::applyOptions()
{
    curl_easy_setopt(m_handle, CURLOPT_URL, m_call.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_call.method.c_str());
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(m_call.timeout.count()));
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, m_call.freshConnection ? 1L : 0L);
    // Pistache closes the connection after a request without a keep-alive header, even in HTTP/1.1.
    m_headerList = curl_slist_append(m_headerList, "Connection: keep-alive");
    m_headerList = curl_slist_append(m_headerList, "Expect:");
    for (const auto& header : m_call.headers)
        m_headerList = curl_slist_append(m_headerList, fmt::format("{}: {}", header.name, header.value).c_str());
    if (!m_call.requestId.empty())
        m_headerList = curl_slist_append(m_headerList, ("X-Request-Id: " + m_call.requestId).c_str());
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headerList);
    if (!m_call.body.empty() || m_call.method == "POST") {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_call.body.data());
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_call.body.size()));
    }
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &CurlRequest::onBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &CurlRequest::onHeader);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, &CurlRequest::onBeforeRequest);
    curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
}

int CurlRequest::onBeforeRequest(void* self, char*, char*, int, int)
{
    auto& request = *static_cast<CurlRequest*>(self);
    bool isRepeat = std::exchange(request.m_mayHaveBeenSent, true);
    return isRepeat && request.m_call.sendLimit.isOnce() ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

size_t CurlRequest::onBody(char* data, size_t size, size_t count, void* self)
{
    auto& reply = static_cast<CurlRequest*>(self)->m_reply;
    if (reply.body.size() + size * count > maxReplyBytes)
        return 0;
    reply.body.append(data, size * count);
    return size * count;
}

size_t CurlRequest::onHeader(char* data, size_t size, size_t count, void* self)
{
    std::string_view line(data, size * count);
    auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return line.size();
    auto value = line.substr(colon + 1);
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t'))
        value.remove_prefix(1);
    while (!value.empty() && (value.back() == '\r' || value.back() == '\n' || value.back() == ' '))
        value.remove_suffix(1);
    static_cast<CurlRequest*>(self)->m_reply.headers.push_back(
        { std::string(line.substr(0, colon)), std::string(value) });
    return line.size();
}

absl::StatusOr<HttpReply> CurlRequest::finish(CURLcode code)
{
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(m_handle, CURLINFO_RESPONSE_CODE, &status);
        m_reply.status = static_cast<int>(status);
        if (!m_call.requestId.empty() && headerValue(m_reply.headers, "X-Request-Id") != m_call.requestId)
            return absl::UnavailableError(
                fmt::format("{} {}: X-Request-Id of the reply does not match the request", m_call.method, m_call.url));
        return std::move(m_reply);
    }
    auto message = fmt::format("{} {}: {}", m_call.method, m_call.url, curl_easy_strerror(code));
    bool failedBeforeSending
        = code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
    if (failedBeforeSending && !m_mayHaveBeenSent) {
        long systemError = 0;
        curl_easy_getinfo(m_handle, CURLINFO_OS_ERRNO, &systemError);
        return systemError == ECONNREFUSED ? connectionRefusedError(message) : absl::AbortedError(message);
    }
    if (code == CURLE_OPERATION_TIMEDOUT)
        return absl::DeadlineExceededError(message);
    return absl::UnavailableError(message);
}

}
