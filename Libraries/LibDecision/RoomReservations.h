#pragma once

#include <LibCore/Time.h>
#include <LibDecision/TaskRef.h>
#include <LibDecision/TaskWorkerView.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace Bergamot {

/// Workers on which only one task, or more urgent ones, may start, so that the room for it adds up there as other runs
/// end.
class RoomReservations {
public:
    struct Reservation {
        TaskRef task {};
        Instant since { neverInstant };

        /// Tasks of queues with a lower value may start there too; nullopt if none may.
        std::optional<uint32_t> priority {};

        bool operator==(const Reservation&) const = default;
    };

    /// A worker has one reservation at most, and so has a task.
    void reserve(WorkerHandle, const Reservation&);
    void release(WorkerHandle);
    void releaseIf(const std::function<bool(WorkerHandle, const Reservation&)>&);

    const Reservation* find(WorkerHandle) const;

    /// Whether tasks of queues with this priority may not start on the worker.
    bool excludes(WorkerHandle, uint32_t priority) const;
    std::optional<WorkerHandle> workerFor(const TaskRef&) const;
    size_t count() const { return m_reservations.size(); }

private:
    std::map<WorkerHandle, Reservation> m_reservations;
    std::map<TaskRef, WorkerHandle> m_workers;
};

}
