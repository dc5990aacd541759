#pragma once

#include <LibCore/Time.h>
#include <LibDecision/TaskRef.h>
#include <LibDecision/TaskWorkerView.h>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace Bergamot {

/// Workers on which only one task may start, so that the room for it adds up there as other runs end.
class RoomReservations {
public:
    struct Reservation {
        TaskRef task {};
        Instant since { neverInstant };

        bool operator==(const Reservation&) const = default;
    };

    /// A worker has one reservation at most, and so has a task.
    void reserve(WorkerHandle, const Reservation&);
    void release(WorkerHandle);
    void releaseIf(const std::function<bool(WorkerHandle, const Reservation&)>&);

    const Reservation* find(WorkerHandle) const;
    std::optional<WorkerHandle> workerFor(const TaskRef&) const;
    size_t count() const { return m_reservations.size(); }

private:
    std::map<WorkerHandle, Reservation> m_reservations;
    std::map<TaskRef, WorkerHandle> m_workers;
};

}
