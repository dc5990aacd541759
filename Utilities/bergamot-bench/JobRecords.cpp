#include "JobRecords.h"
#include <LibCore/Digest.h>
#include <LibNode/ProgressJournal.h>
#include <LibWire/JobProgress.h>
#include <LibWire/JobSpec.h>
#include <LibWire/ValueCodec.h>
#include <PlatformStandIn/PlatformMessages.h>
#include <fmt/format.h>
#include <utility>
#include <vector>

namespace Bergamot {

static constexpr int64_t acceptedAtMs = 1'764'547'200'000;
static constexpr int64_t liveTaskMs = 600'000;

/// The two records of a job then take 486 B; those that a node had stored took 472 B in case 2 of review/.
static constexpr size_t endedJobSteps = 8;

/// One job in 50 ends as failed.
static constexpr uint64_t failureInterval = 50;

static KeyedRecord recordOf(const JobId& id, const std::vector<StepPlan>& plans)
{
    JobSpec job { .id = id,
        .queue = "batch",
        .payload = taskSpecText(plans),
        .acceptedAtMs = acceptedAtMs,
        .policyAtAcceptance
        = QueuePolicy { .service = taskService, .maxAttempts = 3, .stretch = 2, .targetLatencyMs = 2500 } };
    for (const auto& plan : plans) {
        StepSpec step { .count = plan.count,
            .size = { .cpuMillis = plan.cpuMillis, .memoryMb = plan.memoryMb },
            .estimateMs = static_cast<uint32_t>(plan.durationMs) };
        if (plan.dependsOnPreviousStep)
            step.dependsOn.push_back(static_cast<uint32_t>(job.steps.size() - 1));
        job.steps.push_back(std::move(step));
    }
    return { .key = id, .value = encodeValue(job) };
}

JobId JobRecords::idOf(uint64_t n) const { return fmt::format("{:016x}", mixDigest(m_seed, n)); }

KeyedRecord JobRecords::endedJob(uint64_t n) const
{
    std::vector<StepPlan> plans(endedJobSteps, { .count = 2, .dependsOnPreviousStep = true });
    plans.front().dependsOnPreviousStep = false;
    return recordOf(idOf(n), plans);
}

KeyedRecord JobRecords::end(uint64_t n) const
{
    auto id = idOf(n);
    auto state = n % failureInterval == 0 ? JobStage::Failed : JobStage::Completed;
    return { .key = jobKeyPrefix + id, .value = encodeValue(JobProgress { .id = id, .state = state }) };
}

KeyedRecord JobRecords::liveJob(uint64_t n) const
{
    return recordOf(idOf(n), { { .cpuMillis = 100, .memoryMb = 64, .durationMs = liveTaskMs } });
}

}
