#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

/// Learns what the worker stand-ins run. All calls come on the thread of the loop.
class RunObserver {
public:
    struct Run {
        std::string worker;
        std::string task;
        uint64_t run { 0 };
        uint64_t epoch { 0 };
    };

    virtual ~RunObserver() = default;

    virtual void runStarted(const Run&, const std::string& spec) = 0;

    /// `outcome` is the platform's word for the end.
    virtual void runEnded(const Run&, const std::string& outcome) = 0;

    /// The leader has taken note of this end.
    virtual void endAcknowledged(const Run&, const std::string& outcome) = 0;

    /// A worker has crashed, and nothing runs on it any more.
    virtual void workerCrashed(const std::string& worker) = 0;

    /// The number of runs of the task that have ended as failed so far, on any worker.
    virtual uint32_t failedRuns(const std::string& task) const = 0;
};

}
