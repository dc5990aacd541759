#pragma once

#include <LibDecision/TaskWorkerView.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// What a worker says of itself in the store.
struct WorkerAnnouncement {
    TaskWorkerView view {};
    std::string address {};

    /// When this life of the worker began (Unix time); 0 when it does not say.
    int64_t startedAtMs { 0 };

    bool operator==(const WorkerAnnouncement&) const = default;
};

}
