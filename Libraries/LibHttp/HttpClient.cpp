#include <LibHttp/CurlRequest.h>
#include <LibHttp/HttpClient.h>
#include <curl/curl.h>
#include <utility>

namespace Bergamot {

struct HttpClient::Handle {
    Handle()
        : curl(curl_easy_init())
    {
    }
    ~Handle() { curl_easy_cleanup(curl); }
    Handle(const Handle&) = delete;
    Handle& operator=(const Handle&) = delete;

    CURL* curl;
};

HttpClient::HttpClient()
    : m_handle(std::make_unique<Handle>())
{
}

HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;

absl::StatusOr<HttpReply> HttpClient::call(HttpCall call)
{
    curl_easy_reset(m_handle->curl);
    CurlRequest request(m_handle->curl, std::move(call));
    return request.finish(curl_easy_perform(m_handle->curl));
}

}
