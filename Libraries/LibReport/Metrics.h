#pragma once

#include <LibReport/SeriesTable.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>
#include <thread>

namespace Bergamot {

/// Bounds on the number of series; each must be in [1, Metrics::maxLabelCapacity].
struct MetricsOptions {
    size_t maxServices { 32 };
    size_t maxZones { 8 };
};

/// The metrics of one entry daemon, listed in docs/operators/metrics.md. All methods may be called from any thread.
/// Label values that are not in the bounded set of their label count as "other".
class Metrics {
public:
    static constexpr size_t maxLabelCapacity = 1024;

    /// Returns InvalidArgument when a bound is out of range.
    static absl::StatusOr<std::unique_ptr<Metrics>> create(const MetricsOptions&);

    /// Gives a service or zone a series of its own. Returns ResourceExhausted when the bound is reached and
    /// InvalidArgument for an empty or overlong name; its figures then count as "other".
    absl::Status admitService(std::string_view);
    absl::Status admitZone(std::string_view);

    /// A quick request that was dispatched. Outcomes: ok, error, timeout, cancelled.
    void recordRequest(
        std::string_view service, std::string_view zone, std::string_view outcome, std::chrono::microseconds latency);

    /// A request that did not run. Reasons: deadline, draining, log_unavailable, no_capacity, overload, quota,
    /// rate_limit, terms, unknown_service, zone_out. Also counts as a request with the outcome "refused".
    void recordRefusal(std::string_view service, std::string_view reason);

    /// Outcomes are those of TaskEnded: completed, failed, evicted, lost, refused, stopped.
    void recordTaskEnded(std::string_view outcome);

    /// Reasons are those of TaskRevoked: eviction, zone_out, cancelled, worker_lost, host_drain, superseded.
    void recordEviction(std::string_view reason);

    void setZoneOut(std::string_view zone, bool out);

    /// A batch task completed while at least one zone was out; `coreSeconds` is its processors times its run time.
    void recordWorkWhileZoneOut(double coreSeconds);

    /// Time that passed while at least one zone was out.
    void recordZoneOutTime(std::chrono::milliseconds);

    /// Kinds: place, evict, move, quarantine, declare_lost, reject.
    void recordDecision(std::string_view kind, std::chrono::microseconds duration);

    /// `records` is the number of log records not yet read; `age` is the age of the last successful log read.
    void setLogLag(uint64_t records, std::chrono::milliseconds age);

    void recordAppend(std::chrono::microseconds latency, bool succeeded);
    void setLeaderEpoch(uint64_t epoch, bool isLeader);
    void setConfigVersion(uint64_t version);

    /// Channels: log, worker, peer, host_list.
    void recordControlSent(std::string_view channel, uint64_t bytes);
    void recordControlReceived(std::string_view channel, uint64_t bytes);

    /// Adds the processor time of the calling thread (getrusage) since its last call. Each control thread calls this
    /// once a second or so with its own name: control, log_reader, log_appender, worker_calls, peers.
    void sampleControlThread(std::string_view thread);

    /// Adds the processor time of the process (getrusage) and sets its resident memory (/proc/self/statm).
    void sampleProcess();

    /// Prometheus text exposition format 0.0.4.
    std::string text() const;

    /// One entry for each metric family.
    std::vector<prometheus::MetricFamily> collect() const { return m_registry.Collect(); }

private:
    explicit Metrics(const MetricsOptions&);

    using CounterTable = SeriesTable<prometheus::Counter>;
    using GaugeTable = SeriesTable<prometheus::Gauge>;
    using HistogramTable = SeriesTable<prometheus::Histogram>;

    prometheus::Family<prometheus::Counter>& counterFamily(const char* name, const char* help);
    prometheus::Family<prometheus::Gauge>& gaugeFamily(const char* name, const char* help);
    prometheus::Family<prometheus::Histogram>& histogramFamily(const char* name, const char* help);
    void createFixedSeries();

    prometheus::Registry m_registry;
    LabelValues m_services;
    LabelValues m_zones;
    LabelValues m_requestOutcomes;
    LabelValues m_refusalReasons;
    LabelValues m_taskOutcomes;
    LabelValues m_evictionReasons;
    LabelValues m_decisionKinds;
    LabelValues m_directions;
    LabelValues m_channels;
    LabelValues m_threads;

    HistogramTable m_serviceLatency;
    CounterTable m_requests;
    CounterTable m_refusals;
    CounterTable m_tasksEnded;
    CounterTable m_evictions;
    GaugeTable m_zoneOut;
    prometheus::Counter& m_zoneOutSeconds;
    prometheus::Counter& m_zoneOutTasks;
    prometheus::Counter& m_zoneOutCoreSeconds;
    CounterTable m_decisions;
    prometheus::Histogram& m_decisionTime;
    prometheus::Gauge& m_logLagRecords;
    prometheus::Gauge& m_logReadAge;
    prometheus::Histogram& m_appendLatency;
    prometheus::Counter& m_appendFailures;
    prometheus::Gauge& m_leaderEpoch;
    prometheus::Gauge& m_leader;
    prometheus::Gauge& m_configVersion;
    CounterTable m_controlCpu;
    CounterTable m_controlBytes;
    prometheus::Counter& m_processCpu;
    prometheus::Gauge& m_residentMemory;

    std::mutex m_processorMutex;
    std::map<std::thread::id, double> m_threadProcessorSeconds;
    double m_processorSeconds { 0 };
};

}
