#pragma once

#include <LibReport/LabelValues.h>
#include <LibReport/SeriesTable.h>
#include <chrono>
#include <cstdint>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// Metrics of a node on the platform, documented in docs/operators/node-metrics.md. All label values come from fixed
/// lists; any other value counts as "other". All methods may be called from any thread.
class NodeMetrics {
public:
    NodeMetrics();

    /// Records a job submission. Results: accepted, refused, unknown.
    void recordSubmission(std::string_view result, std::chrono::milliseconds latency);

    /// Records a job query. Kinds: state, cancel, pending. Results: found, unknown, unavailable.
    void recordQuery(std::string_view kind, std::string_view result, std::chrono::milliseconds latency);

    /// Records the reply of a worker to a start command. Outcomes: accepted, fenced, superseded, too_late, no_room,
    /// invalid, unhealthy, other_life, not_sent.
    void recordStart(std::string_view outcome);

    /// Records a run end reported by a worker, or the crash of the worker of a suspected run. Outcomes: done, failed,
    /// stopped, lease_lapsed, gang_broken, gang_incomplete, crashed.
    void recordRunEnd(std::string_view outcome);

    /// Records a stop or throttle command to a worker. Commands: stop, pace.
    void recordTaskCommand(std::string_view command);

    /// Records the reason of a stop command. Reasons: job_ended, task_done, gang_broken, unwanted, stalled,
    /// worker_drains, throttled, slow, start_withdrawn.
    void recordStop(std::string_view reason);

    /// Records the stored end of a job. States: completed, failed, cancelled.
    void recordJobEnd(std::string_view state);
    void recordElection();
    void recordOmittedRecords(uint32_t n);

    /// Records the time from the election until every worker has replied or its lease has expired.
    void recordTakeover(std::chrono::milliseconds duration);
    void setLeader(bool isLeader, uint64_t epoch);
    void setQueue(uint32_t waitingTasks, uint32_t activeRuns);

    /// Sets the longest current wait of a task for the reason. Reasons: earlier_leader, headroom, no_worker,
    /// unconfirmed_leadership, crash_suspicion, unlisted_run, gang_member, outdated_configuration.
    void setOldestWait(std::string_view reason, std::chrono::milliseconds wait);

    /// Sets the number of jobs without a run of which a task has waited for over 3 s.
    void setIdleJobs(size_t jobs);

    /// Sets the number of occurrences that are due and wait until earlier ones of their jobs have started.
    void setDeferredOccurrences(size_t occurrences);
    void setWorkers(size_t reachable, size_t known);
    void setConfigVersion(uint64_t version);

    /// Returns all metrics in the Prometheus text exposition format 0.0.4.
    std::string text() const;

    /// Returns one entry for each metric family.
    std::vector<prometheus::MetricFamily> collect() const { return m_registry.Collect(); }

private:
    prometheus::Family<prometheus::Counter>& counterFamily(const char* name, const char* help);
    prometheus::Family<prometheus::Gauge>& gaugeFamily(const char* name, const char* help);
    prometheus::Family<prometheus::Histogram>& histogramFamily(const char* name, const char* help);

    prometheus::Registry m_registry;
    LabelValues m_submissionResults;
    LabelValues m_queryKinds;
    LabelValues m_queryResults;
    LabelValues m_startOutcomes;
    LabelValues m_runOutcomes;
    LabelValues m_taskCommandNames;
    LabelValues m_stopReasons;
    LabelValues m_jobStates;
    LabelValues m_waitReasons;
    SeriesTable<prometheus::Histogram> m_submissionLatency;
    SeriesTable<prometheus::Histogram> m_queryLatency;
    SeriesTable<prometheus::Counter> m_queries;
    SeriesTable<prometheus::Counter> m_starts;
    SeriesTable<prometheus::Counter> m_runEnds;
    SeriesTable<prometheus::Counter> m_taskCommands;
    SeriesTable<prometheus::Counter> m_stops;
    SeriesTable<prometheus::Counter> m_jobEnds;
    SeriesTable<prometheus::Gauge> m_oldestWaits;
    prometheus::Counter& m_elections;
    prometheus::Counter& m_omittedRecords;
    prometheus::Histogram& m_takeoverTime;
    prometheus::Gauge& m_leader;
    prometheus::Gauge& m_epoch;
    prometheus::Gauge& m_waitingTasks;
    prometheus::Gauge& m_activeRuns;
    prometheus::Gauge& m_idleJobs;
    prometheus::Gauge& m_deferredOccurrences;
    prometheus::Gauge& m_workersReachable;
    prometheus::Gauge& m_workersKnown;
    prometheus::Gauge& m_configVersion;
};

}
