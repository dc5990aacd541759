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

/// Calls to workers. Calls return at once; the callback runs exactly once on a thread of the implementation.
/// After Unavailable or DeadlineExceeded the effect of a call is unknown.
class WorkerService : public Service {
public:
    template <typename Reply> using Callback = std::function<void(absl::StatusOr<Reply>)>;

    virtual void start(const std::string& address, const TaskStart&, Callback<StartReply>) = 0;
    virtual void renew(const std::string& address, const LeaseRenewal&, Callback<LeaseReport>) = 0;

    /// Stops an attempt, after a checkpoint when `checkpoint` is set.
    virtual void stop(const std::string& address, const TaskId&, bool checkpoint, Callback<StopReply>) = 0;

    /// Limits the attempt to `cpuPercent` of its processors; 100 removes the limit.
    virtual void throttle(const std::string& address, const TaskId&, int cpuPercent, std::function<void(absl::Status)>)
        = 0;
};

}
