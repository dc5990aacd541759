#include <LibCore/Logger.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/TaskLeader.h>
#include <algorithm>
#include <set>
#include <utility>

// Keeps the starts without a reply for the next leader, and holds back the tasks of those that earlier leaders have
// left: a worker that has started again under its id, and that this leader does not reach, may execute them late.

namespace Bergamot {

/// A start without a reply for this long is stored before its time-out, which grows while replies are lost.
static constexpr Milliseconds maxReplyTime { 100 };

static TaskRef taskOf(const UnansweredStart& start) { return { start.job, start.occurrence, start.step, start.index }; }

void TaskLeader::restoreLateStarts()
{
    for (auto& [list, stored] : m_storedUnansweredStarts) {
        for (auto& start : stored.starts) {
            // The leader that sent it had been replaced by then.
            auto sentBy = m_options.elections.electedBy(start.epoch + 1).value_or(m_loop.now());
            m_lateStarts.restore(list, std::move(start), sentBy + UnprovenStarts::maxCallDelay);
        }
    }
    m_storedUnansweredStarts.clear();
}

void TaskLeader::recordUnansweredStart(const WorkerIncarnation& worker, const TaskRef& task, uint64_t run)
{
    m_lateStarts.add({ .epoch = m_options.epoch,
                         .worker = worker.id,
                         .workerStartedAtMs = worker.startedAtMs,
                         .job = task.job,
                         .occurrence = task.occurrence,
                         .step = task.step,
                         .index = task.index,
                         .run = run },
        m_loop.now() + UnprovenStarts::maxCallDelay);
    if (m_lateStarts.isDue(m_loop.now()))
        m_journal.requestFlush();
}

void TaskLeader::updateLateStarts()
{
    for (const auto& [handle, worker] : m_workers) {
        if (const auto* start = worker.session->startWithoutReplyFor(maxReplyTime))
            recordUnansweredStart(worker.incarnation, start->task, start->run);
    }
    m_lateStarts.eraseIf([this](const LateStarts::Entry& it) {
        bool isOver = m_loop.now() >= it.executedBy && !mayBeRunning(it);
        return isOver || (hasLoadedJobs() && !m_scheduler.isUnfinished(taskOf(it.start)));
    });
    // A start that is executed at the last moment grants the longest lease.
    m_lateStarts.forgetTasksBefore(m_loop.now() - WorkerClock::maxLocalTime(m_options.node.maxLease.count()));
    if (hasLoadedJobs())
        holdTasksOfLateStarts();
    if (m_lateStarts.isDue(m_loop.now()))
        m_journal.requestFlush();
}

/// The incarnation for which the start was meant refuses it once the lease in it has expired. Any incarnation that has
/// replied refuses it from then on, and lists the run if it has executed the start before.
void TaskLeader::updateLateStart(LateStarts::Entry& entry) const
{
    auto handle = findHandle(entry.start.worker);
    if (!handle)
        return;
    const auto& worker = m_workers.at(*handle);
    const auto& session = *worker.session;
    if (!session.isUnreached() && session.isReconciled())
        entry.hasUnreachedSuccessor = false;
    else if (worker.incarnation.startedAtMs > entry.start.workerStartedAtMs || worker.announcedSuccessor)
        entry.hasUnreachedSuccessor = true;
}

/// Whether the run of a start that an earlier leader has sent may exist without this leader knowing.
bool TaskLeader::mayBeRunning(const LateStarts::Entry& entry) const
{
    auto leaseExpiresBy = entry.executedBy + WorkerClock::maxLocalTime(m_options.node.maxLease.count());
    return entry.start.epoch != m_options.epoch && entry.hasUnreachedSuccessor && m_loop.now() < leaseExpiresBy;
}

void TaskLeader::holdTasksOfLateStarts()
{
    std::set<TaskRef> held;
    m_lateStarts.forEach([&](LateStarts::Entry& it) {
        if (it.start.epoch == m_options.epoch)
            return;
        updateLateStart(it);
        if (mayBeRunning(it))
            held.insert(taskOf(it.start));
    });
    if (held == m_heldTasks)
        return;
    if (held.empty() != m_heldTasks.empty())
        logInfo("tasks_held", { { "epoch", m_options.epoch }, { "tasks", held.size() } });
    for (const auto& task : m_heldTasks) {
        if (!held.contains(task))
            m_scheduler.setHeld(task, false);
    }
    for (const auto& task : held)
        m_scheduler.setHeld(task, true);
    m_heldTasks = std::move(held);
}

}
