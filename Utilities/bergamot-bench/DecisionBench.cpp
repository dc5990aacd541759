#include "DecisionBench.h"
#include "OracleEstimator.h"
#include <LibDecision/InterferenceModel.h>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace Bergamot {

using nlohmann::json;

static void print(const json& line) { std::printf("%s\n", line.dump().c_str()); }

static json toJson(const RunResult& result)
{
    return { { "service_p50", result.serviceP50 }, { "service_p99", result.serviceP99 },
        { "service_p999", result.serviceP999 }, { "within_target", result.shareWithinTarget },
        { "batch_core_hours", result.batchCoreHours }, { "zone_out_core_hours", result.zoneOutCoreHours },
        { "after_return_core_hours", result.afterReturnCoreHours }, { "lost_core_hours", result.lostCoreHours },
        { "evictions_per_hour", result.evictionsPerHour }, { "service_downtime", result.serviceDowntime },
        { "worst_kind_down", result.maxKindDownShare }, { "urgent_start_p99_s", result.urgentStartP99 },
        { "urgent_start_max_s", result.urgentStartMax }, { "urgent_starts", result.urgentStarts },
        { "fairness", result.fairness }, { "large_wait_p90_s", result.largeWaitP90 },
        { "accelerator_wait_p90_s", result.acceleratorWaitP90 }, { "deadlines_met", result.deadlinesMet },
        { "over_commitments", result.overCommitments }, { "double_runs", result.duplicateRuns },
        { "zone_out_starts", result.zoneOutStarts }, { "refused_inputs", result.rejectedInputs },
        { "starts", result.starts }, { "completed", result.completed }, { "failed_for_good", result.permanentlyFailed },
        { "wrongly_failed", result.wronglyFailed }, { "failed_attempts", result.failedAttempts },
        { "pending", result.pending }, { "micros_per_decision", result.microsPerDecision },
        { "worst_tick_micros", result.maxTickMicros }, { "core_share", result.coreShare },
        { "state_bytes", result.stateBytes }, { "evictions", result.evictionsByReason } };
}

RunResult DecisionBench::run(const WorkloadSize& size, const RunSettings& settings) const
{
    Workload workload { size, m_seed };
    return ClusterSimulation { workload, m_seed, settings }.run();
}

void DecisionBench::compare(const WorkloadSize& size) const
{
    auto printRun = [&](const char* policy, const RunResult& result) {
        print({ { "measure", "run" }, { "workload", size.name }, { "seed", m_seed }, { "policy", policy },
            { "values", toJson(result) } });
    };
    RunSettings learned;
    RunSettings firstFit;
    firstFit.options.firstFit = true;
    firstFit.options.avoidsInterference = firstFit.options.learnsUse = false;
    // Ignores all reports, so that every neighbour is rated by its share of the processors alone.
    struct NoLearning final : SlowdownEstimator {
        void observe(KindIndex, const std::vector<Neighbour>&, double, double, Instant) override { }
        SlowdownEstimate estimatePair(KindIndex, Neighbour neighbour, double) const override
        {
            return { neighbour.share, 0 };
        }
        size_t stateBytes() const override { return 0; }
    };
    firstFit.estimator = [](const Workload&, const int64_t&) { return std::make_unique<NoLearning>(); };
    RunSettings noSharing;
    noSharing.options.sharesHosts = false;
    RunSettings oracle;
    oracle.estimator = [](const Workload& workload, const int64_t& nowMs) {
        return std::make_unique<OracleEstimator>(workload, nowMs);
    };
    RunSettings withoutZone;
    withoutZone.zoneOutFromStart = true;
    auto learnedResult = run(size, learned);
    auto firstFitResult = run(size, firstFit);
    auto noSharingResult = run(size, noSharing);
    auto oracleResult = run(size, oracle);
    auto zoneOutResult = run(size, withoutZone);
    printRun("bergamotbay", learnedResult);
    printRun("first_fit", firstFitResult);
    printRun("no_sharing", noSharingResult);
    printRun("oracle", oracleResult);
    printRun("zone_out_from_start", zoneOutResult);
    auto target = [&](const char* name, const char* baseline, double value, double limit, bool atMost) {
        print({ { "measure", name }, { "workload", size.name }, { "seed", m_seed }, { "baseline", baseline },
            { "value", value }, { "target", limit }, { "reached", atMost ? value <= limit : value >= limit } });
    };
    target("service_p99_ratio", "no_sharing", learnedResult.serviceP99 / noSharingResult.serviceP99, 1.10, true);
    target("batch_throughput_ratio", "oracle", learnedResult.batchCoreHours / oracleResult.batchCoreHours, 0.90, false);
    target("evictions_ratio", "first_fit",
        learnedResult.evictionsPerHour / std::max(1.0, firstFitResult.evictionsPerHour), 0.5, true);
    target("zone_out_work_ratio", "zone_out_from_start",
        learnedResult.zoneOutCoreHours / (zoneOutResult.zoneOutCoreHours), 0.95, false);
    target("urgent_start_p99_s", "none", learnedResult.urgentStartP99, 7.1, true);
    target("micros_per_decision", "none", learnedResult.microsPerDecision, 200, true);
    target("state_bytes", "none", static_cast<double>(learnedResult.stateBytes), 32e6, true);
    target("over_commitments", "none", static_cast<double>(learnedResult.overCommitments), 0, true);
}

void DecisionBench::ablate(const WorkloadSize& size) const
{
    struct Ablation {
        const char* name;
        bool SchedulerOptions::*option;
    };
    static constexpr Ablation ablations[] = { { "avoids_interference", &SchedulerOptions::avoidsInterference },
        { "explores", &SchedulerOptions::explores }, { "reacts_to_latency", &SchedulerOptions::reactsToLatency },
        { "throttles_first", &SchedulerOptions::throttlesFirst }, { "learns_use", &SchedulerOptions::learnsUse },
        { "watches_use", &SchedulerOptions::watchesUse }, { "spreads_services", &SchedulerOptions::spreadsServices },
        { "keeps_accelerators", &SchedulerOptions::keepsAccelerators }, { "reserves", &SchedulerOptions::reserves },
        { "learns_run_times", &SchedulerOptions::learnsRunTimes }, { "quarantines", &SchedulerOptions::quarantines },
        { "paces_recovery", &SchedulerOptions::pacesRecovery },
        { "refills_gradually", &SchedulerOptions::refillsGradually },
        { "orders_zone_evictions", &SchedulerOptions::ordersZoneEvictions } };
    auto printRun = [&](const std::string& without, const RunResult& result) {
        print({ { "measure", "ablation" }, { "workload", size.name }, { "seed", m_seed }, { "without", without },
            { "baseline", "nothing" }, { "values", toJson(result) } });
    };
    printRun("nothing", run(size, {}));
    for (const auto& ablation : ablations) {
        RunSettings settings;
        settings.options.*ablation.option = false;
        printRun(ablation.name, run(size, settings));
    }
    auto withModel = [&](const char* name, InterferenceModel::Options options) {
        RunSettings settings;
        settings.estimator
            = [options](const Workload&, const int64_t&) { return std::make_unique<InterferenceModel>(options); };
        printRun(name, run(size, settings));
    };
    withModel("detects_shifts", { .detectsShifts = false });
    withModel("uses_load_levels", { .usesLoadLevels = false });
    withModel("forgets", { .variancePerHour = 0 });
}

}
