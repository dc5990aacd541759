#include <LibHttp/HttpEngine.h>
#include <LibPlatform/HttpWorkerService.h>
#include <LibPlatform/WorkerJson.h>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds workerCallTimeout { 2000 };

template <typename Reply, typename Decode>
void HttpWorkerService::post(
    const std::string& url, std::string body, SendLimit limit, Decode decode, Callback<Reply> callback)
{
    HttpCall call {
        .method = "POST",
        .url = url,
        .headers = { { "Content-Type", "application/json" } },
        .body = std::move(body),
        .timeout = workerCallTimeout,
        .sendLimit = limit,
        .requestId = m_requestIds->next(),
    };
    m_engine->submit(std::move(call), [decode, callback = std::move(callback)](const absl::StatusOr<HttpReply>& reply) {
        if (!reply.ok())
            callback(reply.status());
        else if (reply->status != 200)
            callback(absl::UnavailableError(fmt::format("worker replied with status {}", reply->status)));
        else
            callback(decode(reply->body));
    });
}

void HttpWorkerService::start(const std::string& address, const TaskStart& start, Callback<StartReply> callback)
{
    post<StartReply>(
        address + "/v1/tasks/start", encodeTaskStart(start), SendLimit::once(), &decodeStartReply, std::move(callback));
}

void HttpWorkerService::renew(const std::string& address, const LeaseRenewal& renewal, Callback<LeaseReport> callback)
{
    post<LeaseReport>(address + "/v1/leases", encodeLeaseRenewal(renewal), SendLimit::unlimited(), &decodeLeaseReport,
        std::move(callback));
}

void HttpWorkerService::stop(
    const std::string& address, const TaskId& task, bool checkpoint, Callback<StopReply> callback)
{
    post<StopReply>(address + "/v1/tasks/stop", encodeStop(task, checkpoint), SendLimit::unlimited(), &decodeStopReply,
        std::move(callback));
}

void HttpWorkerService::throttle(
    const std::string& address, const TaskId& task, int cpuPercent, std::function<void(absl::Status)> callback)
{
    auto onReply = [callback = std::move(callback)](const absl::StatusOr<HttpReply>& reply) {
        if (!reply.ok())
            callback(reply.status());
        else if (reply->status != 200)
            callback(absl::UnavailableError(fmt::format("worker replied with status {}", reply->status)));
        else
            callback(absl::OkStatus());
    };
    m_engine->submit({ .method = "POST",
                         .url = address + "/v1/tasks/throttle",
                         .body = encodeThrottle(task, cpuPercent),
                         .timeout = workerCallTimeout,
                         .sendLimit = SendLimit::unlimited(),
                         .requestId = m_requestIds->next() },
        std::move(onReply));
}

}
