#include <LibCore/Logger.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/TaskLeader.h>
#include <algorithm>
#include <utility>

// Replaces workers by later incarnations under the same id.

namespace Bergamot {

/// An entry may come from another writer, so a reachable worker is asked first. Its reply contradicts the entry, or
/// proves the later incarnation.
void TaskLeader::checkAnnouncedSuccessor(WorkerHandle handle, const WorkerAnnouncement& announcement)
{
    constexpr Milliseconds replyTime { 1000 };
    auto& worker = m_workers.at(handle);
    if (worker.announcedSuccessor)
        return;
    worker.announcedSuccessor = announcement;
    worker.successorAnnouncedAt = m_loop.now();
    m_loop.callAfter(replyTime, [this, alive = m_alive, handle] {
        if (*alive)
            decideOnAnnouncedSuccessor(handle);
    });
    worker.session->proveIncarnation();
}

void TaskLeader::decideOnAnnouncedSuccessor(WorkerHandle handle)
{
    auto it = m_workers.find(handle);
    if (it == m_workers.end())
        return;
    auto& worker = it->second;
    auto announcement = *std::exchange(worker.announcedSuccessor, std::nullopt);
    if (worker.session->lastReplyAt() <= worker.successorAnnouncedAt) {
        WorkerIncarnation successor {
            .id = worker.incarnation.id, .address = announcement.address, .startedAtMs = announcement.startedAtMs
        };
        return replaceWorker(handle, successor, std::move(announcement));
    }
    logWarning("announced_incarnation_contradicted",
        { { "worker", worker.incarnation.id }, { "born", worker.incarnation.startedAtMs },
            { "announced_born", announcement.startedAtMs }, { "announced_address", announcement.address } });
}

/// Replaces a worker by a later incarnation. A start without a reply may have reached the later one, which is told to
/// stop the run before the task may start again.
void TaskLeader::replaceWorker(
    WorkerHandle handle, const WorkerIncarnation& successor, std::optional<WorkerAnnouncement> announcement)
{
    const auto& worker = m_workers.at(handle);
    std::vector<StopTask> stops;
    if (worker.incarnation.address == successor.address)
        stops = worker.session->stopsOfPossibleRuns();
    std::erase_if(stops, [&](const StopTask& it) { return !m_scheduler.isUnconfirmed(handle, it.task, it.run); });
    removeWorker(handle, endOf(worker));
    auto successorHandle = addWorker(successor, std::move(announcement));
    for (const auto& stop : stops) {
        logInfo("run_may_be_on_successor",
            { { "job", stop.task.job }, { "step", stop.task.step }, { "index", stop.task.index }, { "run", stop.run },
                { "worker", successor.id } });
        m_scheduler.stopPossibleRun(successorHandle, stop.task, stop.run, m_loop.now());
    }
}

/// The platform may list the later incarnation only seconds after its first reply.
void TaskLeader::handleIncarnationMismatch(WorkerHandle handle)
{
    const auto& worker = m_workers.at(handle);
    auto successor = worker.incarnation;
    successor.startedAtMs = worker.session->successorStartedAtMs();
    if (auto announced = worker.announcedSuccessor;
        announced && announced->startedAtMs == successor.startedAtMs && successor.startedAtMs != 0) {
        successor.address = announced->address;
        return replaceWorker(handle, successor, std::move(announced));
    }
    // Until all workers have reported, the later incarnation may run tasks of an earlier leader.
    bool mayRunTasks = !m_isReconciled || !worker.session->stopsOfPossibleRuns().empty();
    if (successor.startedAtMs <= worker.incarnation.startedAtMs || !mayRunTasks)
        return removeWorker(handle, endOf(worker));
    replaceWorker(handle, successor, std::nullopt);
}

}
