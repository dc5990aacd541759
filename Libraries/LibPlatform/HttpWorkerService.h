#pragma once

#include <LibHttp/Forward.h>
#include <LibHttp/RequestIds.h>
#include <LibHttp/SendLimit.h>
#include <LibPlatform/WorkerService.h>
#include <memory>
#include <string_view>

namespace Bergamot {

/// WorkerService over the platform's HTTP protocol.
class HttpWorkerService final : public WorkerService {
public:
    HttpWorkerService(std::shared_ptr<HttpEngine> engine, std::shared_ptr<RequestIds> requestIds)
        : m_engine(std::move(engine))
        , m_requestIds(std::move(requestIds))
    {
    }

    void start(const std::string& address, const TaskStart&, Callback<StartReply>) override;
    void renew(const std::string& address, const LeaseRenewal&, Callback<LeaseReport>) override;
    void stop(const std::string& address, const TaskId&, bool checkpoint, Callback<StopReply>) override;
    void throttle(
        const std::string& address, const TaskId&, int cpuPercent, std::function<void(absl::Status)>) override;

private:
    template <typename Reply, typename Decode>
    void post(const std::string& url, std::string body, SendLimit, Decode, Callback<Reply>);

    std::shared_ptr<HttpEngine> m_engine;
    std::shared_ptr<RequestIds> m_requestIds;
};

}
