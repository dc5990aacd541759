#include <LibReport/Metrics.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

namespace Bergamot {

static constexpr std::string_view refusedOutcome = "refused";
static constexpr std::string_view sent = "sent";
static constexpr std::string_view received = "received";

// Bucket bounds in seconds. They are dense around 1 ms, the p99 target for the latency that the quick path adds.
static const prometheus::Histogram::BucketBoundaries latencyBounds { 0.0001, 0.0002, 0.0003, 0.0005, 0.001, 0.002,
    0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };

// Bucket bounds in seconds. The target for the computing time of one placement decision is 200 us.
static const prometheus::Histogram::BucketBoundaries decisionBounds { 0.000005, 0.00001, 0.00002, 0.00005, 0.0001,
    0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.1 };

// A negative duration, which a clock error of the caller can cause, counts as zero, because a sum must not decrease.
template <typename Duration> static double toSeconds(Duration duration)
{
    return std::max(0.0, std::chrono::duration<double>(duration).count());
}

static double toSeconds(const timeval& time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
}

static double readCpuSeconds(int who)
{
    rusage usage {};
    getrusage(who, &usage);
    return toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime);
}

// ru_maxrss of getrusage is the peak and never decreases, so the current value is read from /proc.
static double readResidentBytes()
{
    auto* file = std::fopen("/proc/self/statm", "re");
    if (!file)
        return 0;
    std::array<char, 128> buffer {};
    auto n = std::fread(buffer.data(), 1, buffer.size() - 1, file);
    std::fclose(file);
    unsigned long long pages = 0;
    auto space = std::string_view(buffer.data(), n).find(' ');
    if (space != std::string_view::npos)
        pages = std::strtoull(buffer.data() + space, nullptr, 10);
    return static_cast<double>(pages) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

prometheus::Family<prometheus::Counter>& Metrics::counterFamily(const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(m_registry);
}

prometheus::Family<prometheus::Gauge>& Metrics::gaugeFamily(const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(m_registry);
}

prometheus::Family<prometheus::Histogram>& Metrics::histogramFamily(const char* name, const char* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(m_registry);
}

absl::StatusOr<std::unique_ptr<Metrics>> Metrics::create(const MetricsOptions& options)
{
    for (auto bound : { options.maxServices, options.maxZones }) {
        if (bound == 0 || bound > maxLabelCapacity)
            return absl::InvalidArgumentError(
                fmt::format("a label limit must be in [1, {}], not {}", maxLabelCapacity, bound));
    }
    return std::unique_ptr<Metrics>(new Metrics(options));
}

Metrics::Metrics(const MetricsOptions& options)
    : m_services(options.maxServices)
    , m_zones(options.maxZones)
    , m_requestOutcomes({ "ok", "error", "timeout", "cancelled", refusedOutcome })
    , m_refusalReasons({ "deadline", "draining", "log_unavailable", "no_capacity", "overload", "quota", "rate_limit",
          "terms", "unknown_service", "zone_out" })
    , m_taskOutcomes({ "completed", "failed", "evicted", "lost", "refused", "stopped" })
    , m_evictionReasons({ "eviction", "zone_out", "cancelled", "worker_lost", "host_drain", "superseded" })
    , m_decisionKinds({ "place", "evict", "move", "quarantine", "declare_lost", "reject" })
    , m_directions({ sent, received })
    , m_channels({ "log", "worker", "peer", "host_list" })
    , m_threads({ "control", "log_reader", "log_appender", "worker_calls", "peers" })
    , m_serviceLatency(histogramFamily("bergamot_service_latency_seconds",
                           "Time from the receipt of a quick request to its answer, by the zone of the worker."),
          { { "service", m_services }, { "zone", m_zones } }, latencyBounds)
    , m_requests(counterFamily("bergamot_service_requests_total", "Quick requests by outcome."),
          { { "service", m_services }, { "outcome", m_requestOutcomes } })
    , m_refusals(counterFamily("bergamot_refusals_total", "Requests that did not run, by reason."),
          { { "reason", m_refusalReasons } })
    , m_tasksEnded(counterFamily("bergamot_batch_tasks_ended_total", "Attempts of batch tasks that ended."),
          { { "outcome", m_taskOutcomes } })
    , m_evictions(counterFamily("bergamot_evictions_total", "Running tasks that were told to stop, by reason."),
          { { "reason", m_evictionReasons } })
    , m_zoneOut(
          gaugeFamily("bergamot_zone_out", "1 while operators have the zone out of service."), { { "zone", m_zones } })
    , m_zoneOutSeconds(
          counterFamily("bergamot_zone_out_seconds_total", "Time during which at least one zone was out.").Add({}))
    , m_zoneOutTasks(
          counterFamily("bergamot_zone_out_tasks_completed_total", "Batch tasks completed while a zone was out.")
              .Add({}))
    , m_zoneOutCoreSeconds(counterFamily(
          "bergamot_zone_out_core_seconds_total", "Processor time of the batch tasks completed while a zone was out.")
                               .Add({}))
    , m_decisions(counterFamily("bergamot_decisions_total", "Scheduling decisions."), { { "kind", m_decisionKinds } })
    , m_decisionTime(
          histogramFamily("bergamot_decision_seconds", "Computing time of one decision.").Add({}, decisionBounds))
    , m_logLagRecords(gaugeFamily("bergamot_log_lag_records", "Log records that have not been read yet.").Add({}))
    , m_logReadAge(gaugeFamily("bergamot_log_read_age_seconds", "Age of the last successful log read.").Add({}))
    , m_appendLatency(histogramFamily("bergamot_log_append_seconds", "Time of one append, failed ones included.")
                          .Add({}, latencyBounds))
    , m_appendFailures(
          counterFamily("bergamot_log_append_failures_total", "Appends that failed or had no answer.").Add({}))
    , m_leaderEpoch(gaugeFamily("bergamot_leader_epoch", "Leader epoch seen in the region stream.").Add({}))
    , m_leader(gaugeFamily("bergamot_leader", "1 while this process is the leader of its region.").Add({}))
    , m_configVersion(gaugeFamily("bergamot_config_version", "Version of the configuration in force.").Add({}))
    , m_controlCpu(
          counterFamily("bergamot_control_cpu_seconds_total", "Processor time of the control threads (getrusage)."),
          { { "thread", m_threads } })
    , m_controlBytes(counterFamily("bergamot_control_bytes_total", "Bytes sent and received for control."),
          { { "direction", m_directions }, { "channel", m_channels } })
    , m_processCpu(
          counterFamily("bergamot_process_cpu_seconds_total", "Processor time of the process (getrusage).").Add({}))
    , m_residentMemory(gaugeFamily("bergamot_resident_memory_bytes", "Resident memory of the process.").Add({}))
{
    createFixedSeries();
}

// Creates the series with known labels at start, with value zero. The rate of a counter that first appears with its
// first event misses this event.
void Metrics::createFixedSeries()
{
    const auto createAll = [](auto& table, const LabelValues& values) {
        for (size_t i = 0; i < values.count(); ++i)
            table.at(values.valueAt(i));
    };
    createAll(m_refusals, m_refusalReasons);
    createAll(m_tasksEnded, m_taskOutcomes);
    createAll(m_evictions, m_evictionReasons);
    createAll(m_decisions, m_decisionKinds);
    createAll(m_controlCpu, m_threads);
    for (auto direction : { sent, received }) {
        for (size_t i = 0; i < m_channels.count(); ++i)
            m_controlBytes.at(direction, m_channels.valueAt(i));
    }
    m_serviceLatency.at(LabelValues::other, LabelValues::other);
    m_requests.at(LabelValues::other, LabelValues::other);
    m_zoneOut.at(LabelValues::other);
}

static absl::Status admitTo(LabelValues& values, std::string_view value, std::string_view labelName)
{
    if (value.empty() || value.size() > LabelValues::maxValueBytes)
        return absl::InvalidArgumentError(
            fmt::format("the name of a {} must have 1 to {} bytes", labelName, LabelValues::maxValueBytes));
    if (!values.admit(value))
        return absl::ResourceExhaustedError(
            fmt::format("the metrics are limited to {} values of the label {}", values.count() - 1, labelName));
    return absl::OkStatus();
}

absl::Status Metrics::admitService(std::string_view service)
{
    auto status = admitTo(m_services, service, "service");
    if (status.ok())
        m_requests.at(service, "ok");
    return status;
}

absl::Status Metrics::admitZone(std::string_view zone)
{
    auto status = admitTo(m_zones, zone, "zone");
    if (status.ok())
        m_zoneOut.at(zone);
    return status;
}

void Metrics::recordRequest(
    std::string_view service, std::string_view zone, std::string_view outcome, std::chrono::microseconds latency)
{
    m_serviceLatency.at(service, zone).Observe(toSeconds(latency));
    m_requests.at(service, outcome).Increment();
}

void Metrics::recordRefusal(std::string_view service, std::string_view reason)
{
    m_refusals.at(reason).Increment();
    m_requests.at(service, refusedOutcome).Increment();
}

void Metrics::recordTaskEnded(std::string_view outcome) { m_tasksEnded.at(outcome).Increment(); }

void Metrics::recordEviction(std::string_view reason) { m_evictions.at(reason).Increment(); }

// All unknown zones share the series "other", which shows only the most recent change.
void Metrics::setZoneOut(std::string_view zone, bool out) { m_zoneOut.at(zone).Set(out ? 1 : 0); }

void Metrics::recordWorkWhileZoneOut(double coreSeconds)
{
    m_zoneOutTasks.Increment();
    // A single NaN or infinity would make the sum unusable until the process restarts.
    if (std::isfinite(coreSeconds) && coreSeconds > 0)
        m_zoneOutCoreSeconds.Increment(coreSeconds);
}

void Metrics::recordZoneOutTime(std::chrono::milliseconds time) { m_zoneOutSeconds.Increment(toSeconds(time)); }

void Metrics::recordDecision(std::string_view kind, std::chrono::microseconds duration)
{
    m_decisions.at(kind).Increment();
    m_decisionTime.Observe(toSeconds(duration));
}

void Metrics::setLogLag(uint64_t records, std::chrono::milliseconds age)
{
    m_logLagRecords.Set(static_cast<double>(records));
    m_logReadAge.Set(toSeconds(age));
}

void Metrics::recordAppend(std::chrono::microseconds latency, bool succeeded)
{
    m_appendLatency.Observe(toSeconds(latency));
    if (!succeeded)
        m_appendFailures.Increment();
}

void Metrics::setLeaderEpoch(uint64_t epoch, bool isLeader)
{
    m_leaderEpoch.Set(static_cast<double>(epoch));
    m_leader.Set(isLeader ? 1 : 0);
}

void Metrics::setConfigVersion(uint64_t version) { m_configVersion.Set(static_cast<double>(version)); }

void Metrics::recordControlSent(std::string_view channel, uint64_t bytes)
{
    m_controlBytes.at(sent, channel).Increment(static_cast<double>(bytes));
}

void Metrics::recordControlReceived(std::string_view channel, uint64_t bytes)
{
    m_controlBytes.at(received, channel).Increment(static_cast<double>(bytes));
}

// Stores the new total and returns its increase. A new thread can reuse the id of a finished one, and its total starts
// at zero again.
static double updateTotal(double& last, double total)
{
    auto increase = total >= last ? total - last : total;
    last = total;
    return increase;
}

void Metrics::sampleControlThread(std::string_view thread)
{
    auto total = readCpuSeconds(RUSAGE_THREAD);
    std::lock_guard lock(m_cpuMutex);
    m_controlCpu.at(thread).Increment(updateTotal(m_threadCpuSeconds[std::this_thread::get_id()], total));
}

void Metrics::sampleProcess()
{
    {
        auto total = readCpuSeconds(RUSAGE_SELF);
        std::lock_guard lock(m_cpuMutex);
        m_processCpu.Increment(updateTotal(m_processCpuSeconds, total));
    }
    m_residentMemory.Set(readResidentBytes());
}

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(m_registry.Collect()); }

}
