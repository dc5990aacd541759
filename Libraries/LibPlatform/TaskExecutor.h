#pragma once

#include <LibPlatform/RenewLeaseReply.h>
#include <LibPlatform/RenewLeaseRequest.h>
#include <LibPlatform/StartTaskCommand.h>
#include <LibPlatform/TaskCommandContext.h>
#include <LibPlatform/TaskExecutorAddress.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>

namespace Bergamot {

/// Sends task commands to workers, each with the fencing token of its session. Calls are asynchronous; the callback
/// runs exactly once, on the caller's event loop. After Unavailable and DeadlineExceeded, the command may have been
/// executed or may still be executed later.
class TaskExecutor {
public:
    template <typename Reply> using Callback = std::function<void(absl::StatusOr<Reply>)>;

    virtual ~TaskExecutor() = default;

    virtual void start(
        const TaskExecutorAddress&, const TaskCommandContext&, const StartTaskCommand&, Callback<TaskCommandReply>)
        = 0;
    virtual void stop(
        const TaskExecutorAddress&, const TaskCommandContext&, const TaskRef&, uint64_t run, Callback<TaskCommandReply>)
        = 0;
    virtual void throttle(const TaskExecutorAddress&, const TaskCommandContext&, const TaskRef&, uint64_t run,
        uint32_t speedPercent, Callback<TaskCommandReply>)
        = 0;

    /// Renews the lease of the worker, acknowledges run ends, and returns the running and the ended runs of the worker.
    virtual void renewLease(
        const TaskExecutorAddress&, uint64_t fenceToken, const RenewLeaseRequest&, Callback<RenewLeaseReply>)
        = 0;
};

}
