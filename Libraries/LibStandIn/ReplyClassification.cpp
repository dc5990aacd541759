#include <LibHttp/HttpHeaders.h>
#include <LibStandIn/JsonField.h>
#include <LibStandIn/ReplyClassification.h>

namespace Bergamot {

static constexpr size_t digestLength = 16;

static bool isSuccess(const HttpReply& reply) { return reply.status >= 200 && reply.status < 300; }

std::string executionStateOf(const absl::StatusOr<HttpReply>& reply)
{
    if (!reply.ok())
        return absl::IsAborted(reply.status()) ? "no" : "unknown";
    if (isSuccess(*reply))
        return "yes";
    // Entry daemons report execution in the problem document, workers in a header.
    auto ran = jsonText(parseJson(reply->body), "ran");
    if (ran.empty())
        ran = headerValue(reply->headers, "X-Ran");
    return ran.empty() ? "unknown" : ran;
}

std::string transportErrorOf(const absl::StatusOr<HttpReply>& reply)
{
    if (reply.ok())
        return {};
    if (absl::IsAborted(reply.status()))
        return "not_connected";
    return absl::IsDeadlineExceeded(reply.status()) ? "timeout" : "cut_off";
}

std::string problemTypeOf(const absl::StatusOr<HttpReply>& reply)
{
    if (!reply.ok() || isSuccess(*reply))
        return {};
    auto type = jsonText(parseJson(reply->body), "type");
    return type.substr(type.find_last_of(":/") + 1);
}

void recordReply(SentRequest& request, const absl::StatusOr<HttpReply>& reply)
{
    request.ran = executionStateOf(reply);
    request.error = transportErrorOf(reply);
    if (!reply.ok())
        return;
    request.status = reply->status;
    if (!isSuccess(*reply))
        return;
    request.answerDigest = reply->body.substr(0, digestLength);
    auto header = headerValue(reply->headers, "X-Request-Digest");
    request.isComplete = reply->body.size() > digestLength && reply->body.back() == '\n'
        && (header.empty() || header == request.answerDigest);
}

bool isRetryable(const absl::StatusOr<HttpReply>& reply)
{
    if (!reply.ok())
        return true;
    return reply->status == 429 || reply->status >= 500;
}

}
