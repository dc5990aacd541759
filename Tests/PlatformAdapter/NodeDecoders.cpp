#include "NodeDecoders.h"
#include <LibCore/Verify.h>
#include <LibDecision/TaskScheduler.h>
#include <LibHttp/HttpReply.h>
#include <LibHttp/RequestParser.h>
#include <LibWire/AssignedWorkers.h>
#include <LibWire/Codec.h>
#include <LibWire/JobLimits.h>
#include <LibWire/JobProgress.h>
#include <LibWire/JobSpec.h>
#include <LibWire/LeadershipRecord.h>
#include <LibWire/PressureRecord.h>
#include <LibWire/UnansweredStarts.h>
#include <LibWire/Utf8.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <platform/PlatformJson.h>
#include <platform/PlatformNames.h>
#include <platform/PlatformSettings.h>
#include <platform/StoreReplies.h>
#include <platform/WorkerAddress.h>
#include <platform/WorkerReplies.h>
#include <string>

namespace Bergamot {

static constexpr LogPosition firstOffset = 840;
static constexpr Instant now { Milliseconds { 1'000'000 } };

static void checkPolicy(const QueuePolicy& policy) { VERIFY(policy.stretch >= 0 && policy.stretch <= maxStretch); }

/// A leader must be able to hold the job and to plan it.
static void schedule(const JobSpec& job, std::optional<JobProgress> progress)
{
    TaskScheduler scheduler({ .epoch = 7 });
    scheduler.setQueues({ { "q", { .service = "s", .maxAttempts = 2 } } });
    scheduler.updateWorker(1, { .id = "w", .service = "s", .zone = "z", .capacity = { 4000, 4000, 1 } });
    scheduler.setReachable(1, true, epochInstant);
    scheduler.addJob(job, std::move(progress), neverInstant, now);
    scheduler.plan(now, now.time_since_epoch().count());
    scheduler.takeChangedJobs();
}

template <typename Value> static bool roundTrips(std::string_view bytes)
{
    auto value = decodeValue<Value>(bytes);
    if (!value.ok())
        return false;
    auto again = decodeValue<Value>(encodeValue(*value));
    VERIFY(again.ok() && *again == *value);
    return true;
}

static bool decodeJobBody(std::string_view text)
{
    auto job = Platform::PlatformJson().readJob(text);
    if (!job.ok())
        return false;
    // What a host accepts must be readable for each leader.
    job->id = "5c0e7a21d94b36f8";
    job->queue = "q";
    auto stored = decodeValue<JobSpec>(encodeValue(*job));
    VERIFY(stored.ok() && *stored == *job);
    schedule(*job, std::nullopt);
    return true;
}

static bool decodeOperatorRecord(std::string_view text)
{
    auto change = Platform::PlatformJson().readOperatorRecord({ .key = "config", .value = std::string(text) });
    if (!change.ok())
        return false;
    if (const auto* table = std::get_if<RoutingTable>(&*change)) {
        for (const auto& route : table->routes)
            checkPolicy(route.policy);
        VERIFY(table->headerTimeout.count() > 0 && table->idleTimeout.count() > 0);
        table->match("h", "/p/5c0e7a21d94b36f8");
    }
    return true;
}

static bool decodeOtherOperatorRecord(std::string_view text)
{
    return Platform::PlatformJson().readOperatorRecord({ .key = std::string(text), .value = std::string(text) }).ok();
}

static bool decodeWorkerRecord(std::string_view text)
{
    auto worker = Platform::PlatformJson().readWorkerRecord({ .key = "w", .value = std::string(text) });
    if (!worker.ok())
        return false;
    const auto& capacity = worker->view.capacity;
    VERIFY(std::min({ capacity.cpuMillis, capacity.memoryMb, capacity.accelerators }) >= 0);
    VERIFY(Platform::isHostAndPort(worker->address) && !worker->view.service.empty());
    VERIFY(worker->startedAtMs >= 0 && worker->startedAtMs <= maxUnixMs);
    TaskScheduler scheduler({ .epoch = 7 });
    scheduler.updateWorker(1, worker->view);
    return true;
}

static void checkCommandReply(const TaskCommandReply& reply)
{
    VERIFY(!reply.clockMs || (*reply.clockMs >= 0 && *reply.clockMs <= maxUnixMs));
    VERIFY(reply.startedAtMs >= 0 && reply.startedAtMs <= maxUnixMs);
}

/// A job "j", whose tasks the seeds name, of steps whose runs are treated differently.
static JobSpec jobOfReports()
{
    JobSpec job { .id = "j", .queue = "q", .payload = "p", .repeats = 2, .intervalMs = 1 };
    job.steps = { { .count = 3, .size = { 1, 1, 0 } }, { .count = 3, .size = { 1, 1, 0 }, .speculative = true },
        { .count = 2, .size = { 1, 1, 0 }, .gang = true }, { .count = 1, .size = { 1, 1, 0 }, .longRunning = true } };
    return job;
}

/// A leader must bear the lists of a worker, for a job that it knows too and when another worker sends the same lists.
static void reportTwice(const RenewLeaseReply& reply)
{
    TaskScheduler scheduler({ .epoch = 7 });
    scheduler.setQueues({ { "q", { .service = "s", .maxAttempts = 2 } } });
    for (WorkerHandle worker : { 1, 2 })
        scheduler.updateWorker(
            worker, { .id = std::to_string(worker), .service = "s", .zone = "z", .capacity = { 4000, 4000, 1 } });
    scheduler.addJob(jobOfReports(), std::nullopt, neverInstant, now);
    auto time = now;
    for (bool withEnds : { false, true }) {
        for (WorkerHandle worker : { 1, 2 }) {
            for (size_t i = 0; withEnds && i < reply.ended.size(); ++i)
                scheduler.runEnded(worker, reply.ended[i], time);
            scheduler.runsReported(worker, reply.running, reply.endCoverage, time, time);
            time += Milliseconds { 1000 };
        }
        scheduler.plan(time, time.time_since_epoch().count());
    }
    scheduler.removeWorker(2, WorkerEnd::Crashed, time);
    scheduler.plan(time, time.time_since_epoch().count());
    scheduler.takeChangedJobs();
}

static bool decodeRenewLeaseReply(std::string_view text)
{
    auto reply = Platform::parseRenewLeaseReply({ .status = 200, .body = std::string(text) });
    if (!reply.ok())
        return false;
    checkCommandReply(reply->commandReply);
    for (const auto& run : reply->running) {
        VERIFY(run.progressPercent <= 100 && run.recentMeasurement >= 0);
        VERIFY(*Platform::parseTaskName(Platform::formatTaskName(run.task)) == run.task);
    }
    reportTwice(*reply);
    return true;
}

static bool decodeTaskCommandReply(std::string_view text)
{
    bool isAccepted = false;
    for (int status : { 200, 409 }) {
        auto reply = Platform::parseTaskCommandReply({ .status = status, .body = std::string(text) });
        if (reply.ok())
            checkCommandReply(*reply);
        isAccepted = isAccepted || reply.ok();
    }
    return isAccepted;
}

static bool decodeAppendReply(std::string_view text)
{
    bool isAccepted = false;
    for (int status : { 200, 409, 412, 503 })
        isAccepted |= Platform::parseAppendReply({ .status = status, .body = std::string(text) }).ok();
    return isAccepted;
}

static bool decodeReadReply(std::string_view bytes)
{
    bool isAccepted = false;
    for (bool isKeyed : { false, true }) {
        auto reply = Platform::parseReadReply({ .status = 200, .body = std::string(bytes) }, isKeyed, firstOffset);
        if (!reply.ok())
            continue;
        isAccepted = true;
        for (size_t i = 0; i < reply->records.size(); ++i)
            VERIFY(reply->records[i].offset == firstOffset + i);
    }
    return isAccepted;
}

static bool decodeExpiredReply(std::string_view text)
{
    return Platform::parseReadReply({ .status = 410, .body = std::string(text) }, true, firstOffset).ok();
}

static bool decodeReadNewestReply(std::string_view text)
{
    auto reply = Platform::parseReadNewestReply({ .status = 200, .body = std::string(text) });
    if (!reply.ok())
        return false;
    VERIFY(!reply->hasMore || !reply->records.empty());
    return true;
}

static bool decodeJobRecord(std::string_view bytes)
{
    if (!roundTrips<JobSpec>(bytes))
        return false;
    auto job = decodeValue<JobSpec>(bytes);
    VERIFY(isUtf8(job->id) && isUtf8(job->payload));
    schedule(*job, std::nullopt);
    return true;
}

static bool decodeProgressRecord(std::string_view bytes)
{
    if (!roundTrips<JobProgress>(bytes))
        return false;
    JobSpec job { .id = "j", .queue = "q", .payload = "p" };
    job.steps = { { .count = 3, .size = { 1, 1, 0 } }, { .count = 2, .size = { 1, 1, 0 }, .gang = true } };
    schedule(job, *decodeValue<JobProgress>(bytes));
    return true;
}

static bool decodePressureRecord(std::string_view bytes)
{
    if (!roundTrips<PressureRecord>(bytes))
        return false;
    TaskScheduler scheduler({ .epoch = 7 });
    scheduler.restorePressures(*decodeValue<PressureRecord>(bytes));
    for (const auto& pair : scheduler.savePressures().pairs)
        VERIFY(std::isfinite(pair.pressure) && pair.pressure >= 0);
    return true;
}

static bool decodeLeadershipRecord(std::string_view bytes)
{
    if (!roundTrips<LeadershipRecord>(bytes))
        return false;
    auto cpuMillis = decodeValue<LeadershipRecord>(bytes)->cpuMillis;
    VERIFY(cpuMillis >= 0 && cpuMillis <= maxCandidateCpuMillis);
    return true;
}

static bool decodePeerInput(std::string_view bytes)
{
    auto message = decodePeerMessage(bytes);
    if (!message.ok())
        return false;
    auto again = decodePeerMessage(encodePeerMessage(*message));
    VERIFY(again.ok());
    return true;
}

static bool decodeSettings(std::string_view text)
{
    auto settings = Platform::parsePlatformSettings(std::string(text));
    if (!settings.ok())
        return false;
    VERIFY(settings->maxLeaseMs > 0 && settings->gracePeriodMs >= 0 && settings->maxSockets >= 0);
    VERIFY(settings->cpuMillis >= 0 && settings->cpuMillis <= maxCandidateCpuMillis && settings->workerSilenceMs >= 0);
    return true;
}

static bool decodeTaskName(std::string_view text)
{
    auto task = Platform::parseTaskName(text);
    if (!task.ok())
        return false;
    VERIFY(*Platform::parseTaskName(Platform::formatTaskName(*task)) == *task);
    return true;
}

static bool decodeRequest(std::string_view bytes)
{
    // The size of the second piece shows faults at the border between two pieces.
    RequestParser parser;
    auto half = bytes.size() / 2;
    auto result = parser.parse(bytes.substr(0, half), {});
    if (std::holds_alternative<RequestParser::Incomplete>(result))
        result = parser.parse(bytes.substr(half), {});
    return std::holds_alternative<RequestParser::Complete>(result);
}

static constexpr std::array decoders { &decodeJobBody, &decodeOperatorRecord, &decodeOtherOperatorRecord,
    &decodeWorkerRecord, &decodeRenewLeaseReply, &decodeTaskCommandReply, &decodeAppendReply, &decodeReadReply,
    &decodeExpiredReply, &decodeReadNewestReply, &decodeJobRecord, &decodeProgressRecord, &roundTrips<AssignedWorkers>,
    &decodePressureRecord, &decodeLeadershipRecord, &decodePeerInput, &decodeSettings, &decodeTaskName, &decodeRequest,
    &roundTrips<UnansweredStarts> };

size_t nodeDecoderCount() { return decoders.size(); }

bool decodeNodeInput(std::string_view input)
{
    if (input.empty())
        return false;
    auto index = static_cast<unsigned char>(input[0]);
    return index < decoders.size() && decoders[index](input.substr(1));
}

}
