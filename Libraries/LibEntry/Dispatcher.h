#pragma once

#include <LibCore/Clock.h>
#include <LibEntry/Executor.h>
#include <LibEntry/LogStream.h>
#include <LibEntry/Membership.h>
#include <LibEntry/WorkerLink.h>
#include <LibPlatform/WorkerService.h>
#include <functional>
#include <map>
#include <memory>

namespace Bergamot {

/// Carries out recorded decisions on the workers that this entry host is responsible for: it starts and stops tasks,
/// renews their leases, and records how tasks ended. Every member runs a dispatcher. The member responsible for a
/// worker is the first reachable one in rendezvous order, so other members take over the workers of a dead member
/// without a log record.
class Dispatcher {
public:
    struct Options {
        MemberId member {};
        WorkerService* workers { nullptr };
        const Clock* clock { nullptr };
        Executor executor {};
    };

    /// Called with each lease report, which carries the resource usage of the running tasks.
    using ReportObserver = std::function<void(const WorkerId&, const LeaseReport&)>;

    Dispatcher(Options, LogStream& region, Membership&);

    void tick(Instant now);
    void setReportObserver(ReportObserver observer) { m_reportObserver = std::move(observer); }

    /// Workers with at least two failed calls since their last lease report and no reply for more than 5 s.
    std::vector<WorkerId> unreachableWorkers(Instant now) const;

    /// Asks the worker to limit the CPU of a task. A failed request is not retried.
    void throttle(const JobState&, int cpuPercent);

    uint64_t startsSent() const { return m_startsSent; }

private:
    bool isResponsible(const WorkerId&);
    Milliseconds pollInterval(size_t servedWorkerCount) const;
    void serveWorker(const WorkerInfo&, Instant now);
    void poll(const WorkerInfo&, WorkerLink&, Instant now);
    void pollFinished(const WorkerId&, const absl::StatusOr<LeaseReport>&);
    void submitTaskEnd(
        const JobState&, TaskOutcome, std::string checkpoint, std::string result, uint32_t crashedTasks = 0);
    void recordFailedCall(WorkerLink&, const absl::Status&);
    void findCrashedTasks(const WorkerId&, WorkerLink&, const LeaseReport&);
    void processReport(const WorkerId&, WorkerLink&, const LeaseReport&, Instant now);
    void startTask(const WorkerInfo&, WorkerLink&, const JobState&, Instant now);
    void startFinished(const WorkerId&, const TaskId&, const absl::StatusOr<StartReply>&);
    void stopTask(const WorkerInfo&, WorkerLink&, const JobState&);
    void stopFinished(const WorkerId&, const TaskId&, const absl::StatusOr<StopReply>&);
    void recordClockReading(WorkerLink&, int64_t workerClockMs);

    template <typename Reply, typename Handler> auto onControlThread(Handler);

    Options m_options;
    LogStream& m_region;
    Membership& m_membership;
    ReportObserver m_reportObserver;
    std::map<WorkerId, WorkerLink> m_workerLinks;
    std::vector<MemberId> m_servingMembers;
    std::map<WorkerId, bool> m_responsibilityByWorker;
    size_t m_servedWorkerCount { 0 };
    uint64_t m_startsSent { 0 };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
