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

/// Carries out recorded decisions at the workers that this entry host is responsible for: starts, renewals, stops, and
/// the recording of ends. Every member runs one; the responsible member of a worker is the first reachable one in
/// rendezvous order, so a dead member's workers pass to others without a record.
class Dispatcher {
public:
    struct Options {
        MemberId member {};
        WorkerService* workers { nullptr };
        const Clock* clock { nullptr };
        Executor executor {};
    };

    /// Called with each lease report, for usage figures.
    using ReportObserver = std::function<void(const WorkerId&, const LeaseReport&)>;

    Dispatcher(Options, LogStream& region, Membership&);

    void tick(Instant now);
    void setReportObserver(ReportObserver observer) { m_reportObserver = std::move(observer); }

    /// Workers that have not answered this process for a while although it polls them.
    std::vector<WorkerId> unreachableWorkers(Instant now) const;

    /// Asks the worker to limit a task; dropped when this process does not reach the worker.
    void throttle(const JobState&, int cpuPercent);

    uint64_t startsSent() const { return m_startsSent; }

private:
    bool isResponsible(const WorkerId&);
    Milliseconds pollInterval(size_t workersServed) const;
    void serveWorker(const WorkerInfo&, Instant now);
    void poll(const WorkerInfo&, WorkerLink&, Instant now);
    void pollFinished(const WorkerId&, const absl::StatusOr<LeaseReport>&);
    void recordEnd(const JobState&, TaskOutcome, std::string checkpoint, std::string result);
    void takeReport(const WorkerId&, WorkerLink&, const LeaseReport&, Instant now);
    void startTask(const WorkerInfo&, WorkerLink&, const JobState&, Instant now);
    void startFinished(const WorkerId&, const TaskId&, const absl::StatusOr<StartReply>&);
    void stopTask(const WorkerInfo&, WorkerLink&, const JobState&);
    void stopFinished(const WorkerId&, const TaskId&, const absl::StatusOr<StopReply>&);
    void noteClock(WorkerLink&, int64_t workerClockMs);

    template <typename Reply, typename Handler> auto onControl(Handler);

    Options m_options;
    LogStream& m_region;
    Membership& m_membership;
    ReportObserver m_reportObserver;
    std::map<WorkerId, WorkerLink> m_links;
    std::vector<MemberId> m_reachable;
    std::map<WorkerId, bool> m_responsible;
    size_t m_served { 0 };
    uint64_t m_startsSent { 0 };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
