#pragma once

#include <LibCore/Time.h>
#include <LibDecision/TaskRef.h>
#include <LibDecision/TaskWorkerView.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

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
    const std::map<WorkerHandle, Reservation>& all() const { return m_reservations; }

    /// A task whose worker has been out of contact for long has to run again as soon as its lease has expired.
    void addUrgent(const TaskRef& task, Instant lostAt) { m_urgentTasks.insert_or_assign(task, lostAt); }
    bool isUrgent(const TaskRef& task) const { return m_urgentTasks.contains(task); }

    /// Returns when contact to the worker of the urgent task was lost, or nullopt if the task is not urgent.
    std::optional<Instant> lossOf(const TaskRef&) const;
    void removeUrgentIf(const std::function<bool(const TaskRef&)>&);

    /// Whether the last search for workers to reserve began at least `interval` ago. If so, one begins now.
    bool beginSearch(Instant now, Milliseconds interval);

    /// The task with which the next plan begins its searches for workers to reserve.
    const std::optional<TaskRef>& nextSearch() const { return m_nextSearch; }
    void setNextSearch(std::optional<TaskRef> task) { m_nextSearch = std::move(task); }

private:
    std::map<WorkerHandle, Reservation> m_reservations;
    std::map<TaskRef, WorkerHandle> m_workers;

    /// The urgent tasks, and when contact to their workers was lost.
    std::map<TaskRef, Instant> m_urgentTasks;
    std::optional<TaskRef> m_nextSearch;
    Instant m_searchedAt { neverInstant };
};

}
