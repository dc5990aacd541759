#include <LibReport/NodeMetrics.h>
#include <prometheus/text_serializer.h>

namespace Bergamot {

// Bucket bounds in seconds, from the latency of a call within a zone up to the deadline of a client.
static const prometheus::Histogram::BucketBoundaries latencyBounds { 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1,
    2, 3 };
static const prometheus::Histogram::BucketBoundaries takeoverBounds { 0.05, 0.1, 0.2, 0.5, 1, 1.5, 3, 6, 12 };

static double toSeconds(std::chrono::milliseconds duration) { return static_cast<double>(duration.count()) / 1000; }

prometheus::Family<prometheus::Counter>& NodeMetrics::counterFamily(const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(m_registry);
}

prometheus::Family<prometheus::Gauge>& NodeMetrics::gaugeFamily(const char* name, const char* help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(m_registry);
}

prometheus::Family<prometheus::Histogram>& NodeMetrics::histogramFamily(const char* name, const char* help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(m_registry);
}

NodeMetrics::NodeMetrics()
    : m_submissionResults({ "accepted", "refused", "unknown", "overloaded" })
    , m_queryKinds({ "state", "cancel", "pending" })
    , m_queryResults({ "found", "unknown", "unavailable" })
    , m_startOutcomes({ "accepted", "fenced", "superseded", "too_late", "no_room", "invalid", "unhealthy", "other_life",
          "not_sent" })
    , m_runOutcomes({ "done", "failed", "stopped", "lease_lapsed", "gang_broken", "gang_incomplete", "crashed" })
    , m_taskCommandNames({ "stop", "pace" })
    , m_stopReasons({ "job_ended", "task_done", "gang_broken", "unwanted", "stalled", "worker_drains", "throttled",
          "slow", "start_withdrawn" })
    , m_jobStates({ "completed", "failed", "cancelled" })
    , m_waitReasons({ "earlier_leader", "headroom", "no_worker", "unconfirmed_leadership", "crash_suspicion",
          "unlisted_run", "gang_member", "outdated_configuration" })
    , m_submissionLatency(histogramFamily("bergamot_node_submission_seconds", "Time to accept or refuse a job."),
          { { "result", m_submissionResults } }, latencyBounds)
    , m_queryLatency(histogramFamily("bergamot_node_query_seconds", "Time to answer a question about jobs."),
          { { "kind", m_queryKinds } }, latencyBounds)
    , m_queries(counterFamily("bergamot_node_queries_total", "Questions about jobs by kind and result."),
          { { "kind", m_queryKinds }, { "result", m_queryResults } })
    , m_starts(counterFamily("bergamot_node_starts_total", "Answers of workers to start orders."),
          { { "outcome", m_startOutcomes } })
    , m_runEnds(counterFamily("bergamot_node_run_ends_total", "Ends of runs that workers listed."),
          { { "outcome", m_runOutcomes } })
    , m_taskCommands(counterFamily("bergamot_node_orders_total", "Stop and pace orders given to workers."),
          { { "order", m_taskCommandNames } })
    , m_stops(counterFamily("bergamot_node_stops_total", "Stops of runs by reason."), { { "reason", m_stopReasons } })
    , m_jobEnds(
          counterFamily("bergamot_node_job_ends_total", "Jobs whose end was stored."), { { "state", m_jobStates } })
    , m_oldestWaits(
          gaugeFamily("bergamot_node_oldest_wait_seconds", "Longest current wait of a task for its start, by reason."),
          { { "reason", m_waitReasons } })
    , m_elections(counterFamily("bergamot_node_elections_total", "Times that this process became leader.").Add({}))
    , m_omittedRecords(counterFamily("bergamot_node_records_omitted_total",
          "Records of the leader that were not stored, because they are too large or the store refused them for good.")
                           .Add({}))
    , m_takeoverTime(histogramFamily("bergamot_node_takeover_seconds",
          "Time from the election until all workers have answered or their leases have lapsed.")
                         .Add({}, takeoverBounds))
    , m_leader(gaugeFamily("bergamot_node_leader", "1 while this process leads.").Add({}))
    , m_epoch(gaugeFamily("bergamot_node_leader_epoch", "Epoch of the own leadership.").Add({}))
    , m_waitingTasks(gaugeFamily("bergamot_node_waiting_tasks", "Tasks that wait for a worker.").Add({}))
    , m_activeRuns(gaugeFamily("bergamot_node_active_runs", "Runs that may be active on workers.").Add({}))
    , m_idleJobs(
          gaugeFamily("bergamot_node_idle_jobs", "Jobs without a run of which a task has waited for over 3 s.").Add({}))
    , m_deferredOccurrences(gaugeFamily("bergamot_node_deferred_occurrences",
          "Occurrences of jobs that are due and wait until earlier ones of their jobs have started.")
                                .Add({}))
    , m_workersReachable(gaugeFamily("bergamot_node_workers_reachable", "Workers that answer the leader.").Add({}))
    , m_workersKnown(gaugeFamily("bergamot_node_workers_known", "Workers that may hold tasks.").Add({}))
    , m_configVersion(gaugeFamily("bergamot_node_config_version", "Version of the configuration in force.").Add({}))
{
}

void NodeMetrics::recordSubmission(std::string_view result, std::chrono::milliseconds latency)
{
    m_submissionLatency.at(result).Observe(toSeconds(latency));
}

void NodeMetrics::recordQuery(std::string_view kind, std::string_view result, std::chrono::milliseconds latency)
{
    m_queries.at(kind, result).Increment();
    m_queryLatency.at(kind).Observe(toSeconds(latency));
}

void NodeMetrics::recordStart(std::string_view outcome) { m_starts.at(outcome).Increment(); }

void NodeMetrics::recordRunEnd(std::string_view outcome) { m_runEnds.at(outcome).Increment(); }

void NodeMetrics::recordTaskCommand(std::string_view command) { m_taskCommands.at(command).Increment(); }

void NodeMetrics::recordStop(std::string_view reason) { m_stops.at(reason).Increment(); }

void NodeMetrics::recordJobEnd(std::string_view state) { m_jobEnds.at(state).Increment(); }

void NodeMetrics::recordElection() { m_elections.Increment(); }

void NodeMetrics::recordOmittedRecords(uint32_t n) { m_omittedRecords.Increment(n); }

void NodeMetrics::recordTakeover(std::chrono::milliseconds duration) { m_takeoverTime.Observe(toSeconds(duration)); }

void NodeMetrics::setLeader(bool isLeader, uint64_t epoch)
{
    m_leader.Set(isLeader ? 1 : 0);
    m_epoch.Set(static_cast<double>(epoch));
}

void NodeMetrics::setQueue(uint32_t waitingTasks, uint32_t activeRuns)
{
    m_waitingTasks.Set(waitingTasks);
    m_activeRuns.Set(activeRuns);
}

void NodeMetrics::setOldestWait(std::string_view reason, std::chrono::milliseconds wait)
{
    m_oldestWaits.at(reason).Set(toSeconds(wait));
}

void NodeMetrics::setDeferredOccurrences(size_t occurrences)
{
    m_deferredOccurrences.Set(static_cast<double>(occurrences));
}

void NodeMetrics::setIdleJobs(size_t jobs) { m_idleJobs.Set(static_cast<double>(jobs)); }

void NodeMetrics::setWorkers(size_t reachable, size_t known)
{
    m_workersReachable.Set(static_cast<double>(reachable));
    m_workersKnown.Set(static_cast<double>(known));
}

void NodeMetrics::setConfigVersion(uint64_t version) { m_configVersion.Set(static_cast<double>(version)); }

std::string NodeMetrics::text() const { return prometheus::TextSerializer().Serialize(m_registry.Collect()); }

}
