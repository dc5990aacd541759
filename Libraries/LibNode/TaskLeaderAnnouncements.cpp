#include <LibHttp/EventLoop.h>
#include <LibNode/TaskLeader.h>
#include <utility>

// Reads the platform's list of workers. An entry may come from another writer and then changes nothing.

namespace Bergamot {

/// The clocks of hosts differ by seconds; an entry that is further ahead is not a worker's.
static constexpr Milliseconds maxClockDifference { 3'600'000 };

void TaskLeader::applyWorkerRecord(const KeyedRecord& record, Instant writtenAfter)
{
    m_entriesOfUnknownServices.erase(record.key);
    if (record.value.empty()) {
        m_listedWorkers.removed(record.key, m_loop.now());
        return;
    }
    auto announcement = m_formats.readWorkerRecord(record);
    // Such an entry comes from another writer and names no worker. With a start time in the future, the true entries
    // of the worker would count as those of earlier incarnations.
    if (!announcement.ok() || announcement->startedAtMs > unixMsNow() + maxClockDifference.count())
        return;
    if (!isServiceKnown(record.key, *announcement)) {
        m_entriesOfUnknownServices[record.key] = record;
        return;
    }
    if (isStartTimeMissing(record.key, *announcement))
        return;
    m_listedWorkers.announced(record.key, announcement->startedAtMs, writtenAfter);
    WorkerIncarnation incarnation {
        .id = record.key, .address = announcement->address, .startedAtMs = announcement->startedAtMs
    };
    auto handle = findHandle(record.key);
    if (handle) {
        auto& worker = m_workers.at(*handle);
        bool sameIncarnation = worker.incarnation.startedAtMs == 0 || announcement->startedAtMs == 0
            || worker.incarnation.startedAtMs == announcement->startedAtMs;
        // What another writer has announced of this worker gives way once nothing can be running there.
        bool isNeverReached = worker.session->isUnreached() && worker.session->haveLeasesExpired();
        if (sameIncarnation && !(isNeverReached && worker.incarnation.address != announcement->address)) {
            worker.announcedSuccessor.reset();
            return updateAnnouncement(*handle, *announcement);
        }
        // A record of an earlier incarnation does not apply to the current one.
        if (announcement->startedAtMs < worker.incarnation.startedAtMs && !isNeverReached)
            return;
        return checkAnnouncedSuccessor(*handle, *announcement);
    }
    addWorker(incarnation, *announcement);
}

/// Whether the configuration names the service, or did so when the worker announced itself before.
bool TaskLeader::isServiceKnown(const WorkerId& id, const WorkerAnnouncement& announcement) const
{
    const auto& service = announcement.view.service;
    if (m_services.empty() || m_services.contains(service))
        return true;
    auto handle = findHandle(id);
    if (!handle)
        return false;
    const auto& known = m_workers.at(*handle).announcement;
    return known && known->view.service == service;
}

/// Whether the worker itself announces its start time, and this entry has none.
bool TaskLeader::isStartTimeMissing(const WorkerId& id, const WorkerAnnouncement& announcement) const
{
    auto handle = findHandle(id);
    if (!handle || announcement.startedAtMs != 0)
        return false;
    const auto& worker = m_workers.at(*handle);
    return worker.announcement && worker.announcement->startedAtMs != 0 && !worker.session->isUnreached()
        && worker.announcement->startedAtMs == worker.session->startedAtMs();
}

/// Sets the services that the configuration names; with none, each service counts as named. Entries that were ignored
/// because it did not name theirs yet are applied.
void TaskLeader::setServices(std::set<std::string> services)
{
    if (services == m_services)
        return;
    m_services = std::move(services);
    for (const auto& [id, record] : std::exchange(m_entriesOfUnknownServices, {}))
        applyWorkerRecord(record, neverInstant);
}

}
