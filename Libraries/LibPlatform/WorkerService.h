#pragma once

#include <LibCore/Service.h>
#include <LibPlatform/LeaseRenewal.h>
#include <LibPlatform/LeaseReport.h>
#include <LibPlatform/StartReply.h>
#include <LibPlatform/StopReply.h>
#include <LibPlatform/TaskStart.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <functional>
#include <string>

namespace Bergamot {

/// Client of the task API of workers. Calls are asynchronous; the callback runs exactly once, on a thread of the
/// implementation. After Unavailable or DeadlineExceeded, it is unknown whether the call took effect.
class WorkerService : public Service {
public:
    template <typename Reply> using Callback = std::function<void(absl::StatusOr<Reply>)>;

    virtual void start(const std::string& address, const TaskStart&, Callback<StartReply>) = 0;
    virtual void renew(const std::string& address, const LeaseRenewal&, Callback<LeaseReport>) = 0;

    /// Stops a task attempt, after a checkpoint if `checkpoint` is set.
    virtual void stop(const std::string& address, const TaskId&, bool checkpoint, Callback<StopReply>) = 0;

    /// Limits a task attempt to `cpuPercent` of its processors; 100 removes the limit.
    virtual void throttle(const std::string& address, const TaskId&, int cpuPercent, std::function<void(absl::Status)>)
        = 0;
};

}
