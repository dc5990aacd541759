#include <LibAdmin/CurlAdminClient.h>
#include <LibCore/StatusText.h>
#include <curl/curl.h>
#include <fmt/format.h>
#include <memory>
#include <mutex>

namespace Bergamot {

namespace {

    constexpr long connectTimeoutMs = 2000;
    /// The largest reply is the state of 720 workers, about 250 KB.
    constexpr size_t maxReplyBytes = size_t { 16 } << 20;
    constexpr int serviceUnavailable = 503;

    using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
    using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

    struct WaitContext {
        const AdminClientOptions& options;
        const std::string& entry;
    };

    size_t appendBody(char* data, size_t size, size_t count, void* target)
    {
        auto& body = *static_cast<std::string*>(target);
        if (body.size() + size * count > maxReplyBytes)
            return 0;
        body.append(data, size * count);
        return size * count;
    }

    int reportWait(void* target, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
    {
        const auto& context = *static_cast<const WaitContext*>(target);
        if (context.options.onWaiting)
            context.options.onWaiting(context.entry);
        return 0;
    }

    HeaderList makeHeaders(const std::string& token)
    {
        curl_slist* list = nullptr;
        for (const auto& line : { "Authorization: Bearer " + token, std::string("Content-Type: application/json"),
                 std::string("Expect:") }) {
            if (auto* longer = curl_slist_append(list, line.c_str()))
                list = longer;
        }
        return { list, curl_slist_free_all };
    }

    /// Returns true when the request cannot have reached the entry host.
    bool couldNotConnect(CURLcode code)
    {
        return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT;
    }

}

CurlAdminClient::CurlAdminClient(AdminClientOptions options)
    : m_options(std::move(options))
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

absl::StatusOr<AdminReply> CurlAdminClient::send(const AdminRequest& request)
{
    absl::StatusOr<AdminReply> result = absl::UnavailableError("no entry host is given");
    std::string errors;
    for (size_t n = 0; n < m_options.entries.size(); ++n) {
        const auto index = (m_currentEntry + n) % m_options.entries.size();
        auto reply = sendTo(m_options.entries[index], request, WaitReports::Enabled);
        if (reply.ok()) {
            if (reply->status != serviceUnavailable) {
                m_currentEntry = index;
                return reply;
            }
            result = std::move(reply);
            continue;
        }
        if (absl::IsDeadlineExceeded(reply.status()) && !request.isRetryable)
            return reply;
        errors += fmt::format("{}{}", errors.empty() ? "" : "; ", statusText(reply.status()));
        // A 503 reply is more specific than a transport error of another host.
        if (!result.ok())
            result = absl::UnavailableError(errors);
    }
    return result;
}

std::vector<AdminReply> CurlAdminClient::sendToAll(const AdminRequest& request)
{
    std::vector<AdminReply> replies;
    for (const auto& entry : m_options.entries) {
        // The caller polls the hosts and reports its own progress.
        if (auto reply = sendTo(entry, request, WaitReports::Disabled); reply.ok())
            replies.push_back(*std::move(reply));
    }
    return replies;
}

absl::StatusOr<AdminReply> CurlAdminClient::sendTo(
    const std::string& entry, const AdminRequest& request, WaitReports waitReports) const
{
    Handle handle(curl_easy_init(), curl_easy_cleanup);
    if (!handle)
        return absl::InternalError("libcurl could not be initialised");
    const auto url = fmt::format("http://{}{}", entry, request.path);
    const auto headers = makeHeaders(m_options.token);
    const WaitContext waitContext { m_options, entry };
    AdminReply reply;
    auto* curl = handle.get();
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    // The token must not be sent to a proxy that an environment variable sets.
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &reply.body);
    curl_easy_setopt(curl, CURLOPT_NOPROGRESS, waitReports == WaitReports::Disabled ? 1L : 0L);
    curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, reportWait);
    curl_easy_setopt(curl, CURLOPT_XFERINFODATA, &waitContext);
    if (!request.body.empty()) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.c_str());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    }
    auto code = curl_easy_perform(curl);
    if (code != CURLE_OK) {
        auto message = fmt::format("{}: {}", entry, curl_easy_strerror(code));
        long sentBytes = 0;
        curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sentBytes);
        return couldNotConnect(code) || sentBytes == 0 ? absl::UnavailableError(message)
                                                       : absl::DeadlineExceededError(message);
    }
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    return reply;
}

}
