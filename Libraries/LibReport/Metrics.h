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

/// Limits on the number of label values; each must be in [1, Metrics::maxLabelCapacity].
struct MetricsOptions {
    size_t maxServices { 32 };
    size_t maxZones { 8 };
};

/// Metrics of one entry daemon, documented in docs/operators/metrics.md. All methods may be called from any thread.
/// Label values that are not in the bounded set of their label count as "other".
class Metrics {
public:
    static constexpr size_t maxLabelCapacity = 1024;

    /// Returns InvalidArgument when a limit is out of range.
    static absl::StatusOr<std::unique_ptr<Metrics>> create(const MetricsOptions&);

    /// Registers a service or zone, so that it has its own series. Returns ResourceExhausted when the limit is reached
    /// and InvalidArgument for an empty or too long name; the service or zone then counts as "other".
    absl::Status admitService(std::string_view);
    absl::Status admitZone(std::string_view);

    /// Records a quick request that was dispatched. Outcomes: ok, error, timeout, cancelled.
    void recordRequest(
        std::string_view service, std::string_view zone, std::string_view outcome, std::chrono::microseconds latency);

    /// Records a request that did not run. Reasons: deadline, draining, log_unavailable, no_capacity, overload, quota,
    /// rate_limit, terms, unknown_service, zone_out. Also counts as a request with the outcome "refused".
    void recordRefusal(std::string_view service, std::string_view reason);

    /// Outcomes are those of TaskEnded: completed, failed, evicted, lost, refused, stopped.
    void recordTaskEnded(std::string_view outcome);

    /// Reasons are those of TaskRevoked: eviction, zone_out, cancelled, worker_lost, host_drain, superseded.
    void recordEviction(std::string_view reason);

    void setZoneOut(std::string_view zone, bool out);

    /// Records a batch task that completed while at least one zone was out of service. `coreSeconds` is the number of
    /// its CPU cores multiplied by its run time in seconds.
    void recordWorkWhileZoneOut(double coreSeconds);

    /// Adds time during which at least one zone was out of service.
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

    /// Adds the CPU time of the calling thread (getrusage) since its previous call. Each control thread calls this
    /// about once per second with its own name: control, log_reader, log_appender, worker_calls, peers.
    void sampleControlThread(std::string_view thread);

    /// Adds the CPU time of the process (getrusage) since the previous call and sets its resident memory
    /// (/proc/self/statm).
    void sampleProcess();

    /// Returns all metrics in the Prometheus text exposition format 0.0.4.
    std::string text() const;

    /// Returns one entry for each metric family.
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

    std::mutex m_cpuMutex;
    std::map<std::thread::id, double> m_threadCpuSeconds;
    double m_processCpuSeconds { 0 };
};

}
