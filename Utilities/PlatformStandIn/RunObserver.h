#pragma once

#include "WorkerLoad.h"
#include <cstdint>
#include <string>

namespace Bergamot {

/// Receives the task events of the worker stand-ins. All functions are called on the event loop's thread.
class RunObserver {
public:
    struct Run {
        std::string worker;
        std::string task;
        uint64_t runNumber { 0 };
        uint64_t fenceToken { 0 };

        /// The start was meant for a former incarnation of the worker, and was executed late.
        bool isMisdirected { false };

        /// No node knew of the incarnation that executed such a start.
        bool isOfUnknownIncarnation { false };
    };

    virtual ~RunObserver() = default;

    /// `load` includes the started run.
    virtual void runStarted(const Run&, const std::string& spec, const WorkerLoad& load) = 0;

    /// Called when a worker starts, and when its capacity changes. The worker announces the change with its next
    /// heartbeat.
    virtual void capacityChanged(const std::string& worker, const WorkerCapacity&) = 0;

    /// `outcome` is the outcome as the platform's protocol names it, such as "done" or "failed".
    virtual void runEnded(const Run&, const std::string& outcome) = 0;

    /// Called when the leader acknowledges the end of a run to the worker.
    virtual void endAcknowledged(const Run&, const std::string& outcome) = 0;

    /// Called when a worker crashes. All its runs are lost without runEnded(). `crashingTask` is the task that crashed
    /// it, and empty for any other cause.
    virtual void workerCrashed(const std::string& worker, const std::string& crashingTask) = 0;

    /// Number of runs of the task that have ended as failed, on all workers together.
    virtual uint32_t failedRuns(const std::string& task) const = 0;
};

}
