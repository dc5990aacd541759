#pragma once

#include <LibDecision/TaskWorkerView.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// The record that a worker publishes about itself in the record store.
struct WorkerAnnouncement {
    TaskWorkerView view {};
    std::string address {};

    /// When this incarnation of the worker started (Unix time); 0 if the record does not contain it.
    int64_t startedAtMs { 0 };

    bool operator==(const WorkerAnnouncement&) const = default;
};

}
