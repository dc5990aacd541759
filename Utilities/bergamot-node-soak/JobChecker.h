#pragma once

#include "CapacityHistory.h"
#include "SoakJob.h"
#include <LibHttp/EventLoop.h>
#include <PlatformStandIn/RunObserver.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Tracks all jobs of a soak run and checks that what callers and workers observe keeps the guarantees of the node.
/// Prints each violation, with the history of its job.
class JobChecker final : public RunObserver {
public:
    using JobHandle = std::shared_ptr<SoakJob>;

    JobChecker(EventLoop&, uint64_t seed);

    void add(const JobHandle&);

    /// Events that the callers observe. `sentAt` is the time at which the request was sent.
    void submissionSent(SoakJob&);
    void submissionAccepted(SoakJob&, std::string_view node);
    void submissionRejected(SoakJob&, std::string_view node, int status);
    void submissionUnanswered(SoakJob&, std::string_view node, std::string_view why);
    void cancelSent(SoakJob&);
    void cancelAcknowledged(SoakJob&);
    void stateReported(SoakJob&, const std::string& state, Instant sentAt);

    /// A request for the state or a cancel was answered with status 410.
    void goneReported(SoakJob&, Instant sentAt);

    /// A fault interrupts nodes, the store or connections of the nodes until this time.
    void nodesDisturbedUntil(Instant);

    /// RunObserver: the events that the workers report.
    void runStarted(const Run&, const std::string& spec, const WorkerLoad&) override;
    void capacityChanged(const std::string& worker, const WorkerCapacity&) override;
    void runEnded(const Run&, const std::string& outcome) override;
    void endAcknowledged(const Run&, const std::string& outcome) override;
    void workerCrashed(const std::string& worker, const std::string& crashingTask) override;
    uint32_t failedRuns(const std::string& task) const override;

    /// Adds a line to the history of the job.
    void recordEvent(SoakJob&, std::string text) const;

    /// Counts and prints a violation. The job is null when the violation concerns no single job.
    void reportViolation(SoakJob*, const std::string& what);

    /// Number of accepted jobs that no caller has seen in an end state.
    size_t countUnfinishedJobs() const;

    /// Reports a violation for each accepted job that has not ended, at most 8 of them, and for each job that completed
    /// although one of its tasks always fails or crashes its workers.
    void checkAllEnded();

    /// One line with the counts of the run.
    std::string summary() const;
    uint32_t violations() const { return m_violations; }
    int64_t elapsedMs() const { return (m_loop.now() - m_startedAt).count(); }

private:
    SoakJob* findJob(const std::string& task) const;
    void checkStart(SoakJob&, SoakTask&, const Run&, const std::string& spec);
    void checkDependencies(SoakJob&, const std::string& task);
    void checkCapacity(SoakJob&, const Run&, const WorkerLoad&);
    void checkCrashLimit(SoakJob&, SoakTask&, const std::string& name);
    void checkRejected(SoakJob&);
    static bool areTasksDone(const SoakJob&, size_t step);
    static bool areTasksDone(const SoakJob&);

    EventLoop& m_loop;
    uint64_t m_seed;
    Instant m_startedAt;
    std::map<std::string, JobHandle> m_jobs;
    std::map<std::string, CapacityHistory> m_capacities;
    Instant m_disturbedUntil { neverInstant };
    uint32_t m_violations { 0 };
    uint64_t m_startCount { 0 };
};

}
