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

/// Leader only: feeds the batch scheduler from the fold and turns its decisions into records. The scheduler is built
/// anew from the fold when the leader epoch is won, so that a takeover needs nothing from the former leader.
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

    /// Reasons for which a job waits, as sentences. FailedPrecondition when this process does not lead.
    absl::StatusOr<std::vector<std::string>> whyWaiting(const JobId&) const;

    uint64_t decisions() const { return m_decisions; }

private:
    struct RecordFeeder;
    struct DecisionRecorder;

    void rebuild(Instant now);
    void defineKindsAndTeams();
    void feedWorker(const WorkerId&);
    void feedJob(const JobState&);
    void recordHostChanges(Instant now);
    void ensureServiceReplicas(Instant now);
    void note(const absl::Status&, std::string_view what);

    Options m_options;
    LogStream& m_region;
    Membership& m_membership;
    Dispatcher& m_dispatcher;
    const HostListWatcher& m_hosts;
    LossDetector m_lossDetector;
    std::unique_ptr<BatchScheduler> m_scheduler;
    std::shared_ptr<const SiteConfig> m_config;
    uint64_t m_builtForEpoch { 0 };
    Instant m_nextDecision { neverInstant };
    Instant m_nextReplicas { neverInstant };
    Instant m_nextHosts { neverInstant };
    uint64_t m_decisions { 0 };
};

}
