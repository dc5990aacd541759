#pragma once

#include <LibHttp/EventLoop.h>
#include <LibPlatform/TaskExecutor.h>
#include <utility>

namespace Bergamot {

/// The shared workers as a process with an event loop of its own reaches them: replies wait until that loop runs.
class HostExecutor final : public TaskExecutor {
public:
    HostExecutor(EventLoop& hostLoop, TaskExecutor& shared)
        : m_hostLoop(hostLoop)
        , m_shared(shared)
    {
    }

    void start(const TaskExecutorAddress& executor, const TaskCommandContext& context, const StartTaskCommand& command,
        Callback<TaskCommandReply> callback) override
    {
        m_shared.start(executor, context, command, onHostLoop(std::move(callback)));
    }

    void stop(const TaskExecutorAddress& executor, const TaskCommandContext& context, const TaskRef& task, uint64_t run,
        Callback<TaskCommandReply> callback) override
    {
        m_shared.stop(executor, context, task, run, onHostLoop(std::move(callback)));
    }

    void throttle(const TaskExecutorAddress& executor, const TaskCommandContext& context, const TaskRef& task,
        uint64_t run, uint32_t speedPercent, Callback<TaskCommandReply> callback) override
    {
        m_shared.throttle(executor, context, task, run, speedPercent, onHostLoop(std::move(callback)));
    }

    void renewLease(const TaskExecutorAddress& executor, uint64_t fenceToken, const RenewLeaseRequest& request,
        Callback<RenewLeaseReply> callback) override
    {
        m_shared.renewLease(executor, fenceToken, request, onHostLoop(std::move(callback)));
    }

private:
    template <typename Reply> Callback<Reply> onHostLoop(Callback<Reply> callback)
    {
        return [this, callback = std::move(callback)](absl::StatusOr<Reply> reply) {
            m_hostLoop.post([callback, reply = std::move(reply)] { callback(reply); });
        };
    }

    EventLoop& m_hostLoop;
    TaskExecutor& m_shared;
};

}
