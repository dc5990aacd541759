#pragma once

#include <LibConfig/SiteConfig.h>
#include <LibDecision/BatchScheduler.h>
#include <LibEntry/Dispatcher.h>
#include <LibEntry/HostListWatcher.h>
#include <LibEntry/LogStream.h>
#include <LibEntry/LossDetector.h>
#include <LibEntry/Membership.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot {

/// Runs on the leader only. Updates the batch scheduler from applied records and appends its decisions as records. A
/// new leader rebuilds the scheduler from the replicated state, so that a takeover needs nothing from the former
/// leader.
class SchedulerDriver {
public:
    struct Options {
        uint64_t seed { 1 };
    };

    SchedulerDriver(Options, LogStream& region, Membership&, Dispatcher&, const HostListWatcher&);

    void tick(Instant now);
    void batchApplied(const RecordBatch&, const ApplyResult&);
    void setConfig(std::shared_ptr<const SiteConfig>);
    void usageReported(const WorkerId&, const LeaseReport&);
    void latencyReported(const std::string& service, const WorkerId&, double load, double ratio);

    /// Explains why a job has not been placed, one sentence per reason. FailedPrecondition when this process is not the
    /// leader.
    absl::StatusOr<std::vector<std::string>> whyWaiting(const JobId&) const;

    uint64_t decisions() const { return m_decisionCount; }

private:
    struct RecordApplier;
    struct DecisionRecorder;

    void rebuildScheduler(Instant now);
    void defineKindsAndTeams();
    void updateWorkerInScheduler(const WorkerId&);
    void submitJobToScheduler(const JobState&);
    void recordHostChanges(Instant now);
    void ensureServiceReplicas(Instant now);
    void logIfRejected(const absl::Status&, std::string_view input);

    Options m_options;
    LogStream& m_region;
    Membership& m_membership;
    Dispatcher& m_dispatcher;
    const HostListWatcher& m_hosts;
    LossDetector m_lossDetector;
    std::unique_ptr<BatchScheduler> m_scheduler;
    std::shared_ptr<const SiteConfig> m_config;
    uint64_t m_schedulerEpoch { 0 };
    Instant m_nextDecision { neverInstant };
    Instant m_nextReplicaCheck { neverInstant };
    Instant m_nextHostCheck { neverInstant };
    uint64_t m_decisionCount { 0 };
};

}
