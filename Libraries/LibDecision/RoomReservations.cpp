#include <LibDecision/RoomReservations.h>

namespace Bergamot {

void RoomReservations::reserve(WorkerHandle handle, const Reservation& reservation)
{
    release(handle);
    if (auto earlier = workerFor(reservation.task))
        release(*earlier);
    m_reservations[handle] = reservation;
    m_workers[reservation.task] = handle;
}

void RoomReservations::release(WorkerHandle handle)
{
    auto it = m_reservations.find(handle);
    if (it == m_reservations.end())
        return;
    m_workers.erase(it->second.task);
    m_reservations.erase(it);
}

const RoomReservations::Reservation* RoomReservations::find(WorkerHandle handle) const
{
    auto it = m_reservations.find(handle);
    return it == m_reservations.end() ? nullptr : &it->second;
}

bool RoomReservations::excludes(WorkerHandle handle, uint32_t priority) const
{
    const auto* reservation = find(handle);
    return reservation && (!reservation->priority || priority >= *reservation->priority);
}

void RoomReservations::releaseIf(const std::function<bool(WorkerHandle, const Reservation&)>& predicate)
{
    for (auto it = m_reservations.begin(); it != m_reservations.end();) {
        auto handle = it->first;
        bool ends = predicate(handle, it->second);
        ++it;
        if (ends)
            release(handle);
    }
}

void RoomReservations::removeUrgentIf(const std::function<bool(const TaskRef&)>& predicate)
{
    std::erase_if(m_urgentTasks, [&](const auto& entry) { return predicate(entry.first); });
}

std::optional<Instant> RoomReservations::lossOf(const TaskRef& task) const
{
    auto it = m_urgentTasks.find(task);
    return it == m_urgentTasks.end() ? std::nullopt : std::optional(it->second);
}

bool RoomReservations::beginSearch(Instant now, Milliseconds interval)
{
    if (m_searchedAt != neverInstant && now - m_searchedAt < interval)
        return false;
    m_searchedAt = now;
    return true;
}

std::optional<WorkerHandle> RoomReservations::workerFor(const TaskRef& task) const
{
    auto it = m_workers.find(task);
    return it == m_workers.end() ? std::nullopt : std::optional(it->second);
}

}
