#include "RecoveryBench.h"
#include "RecoveryRun.h"
#include "StoreGrowth.h"
#include <LibCore/StatusText.h>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <utility>

namespace Bergamot {

using nlohmann::json;

static constexpr double bytesPerMegabyte = 1e6;
static constexpr Milliseconds hour { 3'600'000 };
static constexpr Milliseconds day = 24 * hour;

/// A load on the store, with the times at which its size is taken.
struct StoreLoad {
    const char* name;
    double jobsPerSecond;
    std::vector<Milliseconds> samples;
};

static json millisOrNull(std::optional<Milliseconds> time) { return time ? json(time->count()) : json(); }

static json toJson(const RecoveryResult& result, uint64_t seed)
{
    return { { "measure", "recovery" }, { "seed", seed }, { "ended_jobs", result.endedJobs },
        { "live_jobs", result.liveJobs }, { "elections", result.elections },
        { "peak_mb", static_cast<double>(result.peakBytes) / bytesPerMegabyte },
        { "read_mb", static_cast<double>(result.readBytes) / bytesPerMegabyte }, { "store_calls", result.storeCalls },
        { "stored_mb", static_cast<double>(result.storedBytes) / bytesPerMegabyte },
        { "progress_loaded_ms", millisOrNull(result.progressLoaded) },
        { "first_start_ms", millisOrNull(result.firstStart) }, { "settled_ms", millisOrNull(result.settled) },
        { "all_started_ms", millisOrNull(result.allStarted) }, { "restarted_tasks", result.restartedTasks } };
}

/// The cost of one ended job, from two runs with different numbers of ended jobs.
static json slopesToJson(const RecoveryResult& small, const RecoveryResult& large)
{
    auto jobs = static_cast<double>(large.endedJobs) - static_cast<double>(small.endedJobs);
    auto slope = [jobs](auto from, auto to) { return (static_cast<double>(to) - static_cast<double>(from)) / jobs; };
    json line { { "measure", "recovery_slopes" }, { "ended_jobs", { small.endedJobs, large.endedJobs } },
        { "peak_bytes", slope(small.peakBytes, large.peakBytes) },
        { "read_bytes", slope(small.readBytes, large.readBytes) },
        { "stored_bytes", slope(small.storedBytes, large.storedBytes) },
        { "store_calls", slope(small.storeCalls, large.storeCalls) } };
    if (small.settled && large.settled)
        line["settled_micros"] = 1000 * slope(small.settled->count(), large.settled->count());
    if (small.allStarted && large.allStarted)
        line["all_started_micros"] = 1000 * slope(small.allStarted->count(), large.allStarted->count());
    return line;
}

RecoveryBench::RecoveryBench(Options options)
    : m_options(std::move(options))
{
}

absl::Status RecoveryBench::measureRecoveries(std::ostream& out) const
{
    auto folder = (std::filesystem::temp_directory_path() / "bergamot-recovery-XXXXXX").string();
    if (!mkdtemp(folder.data()))
        return absl::UnavailableError("no folder for the logs of the nodes can be created");
    std::vector<RecoveryResult> results;
    for (auto endedJobs : m_options.endedJobs) {
        RecoveryRun run(
            { .seed = m_options.seed, .endedJobs = endedJobs, .program = m_options.program, .folder = folder });
        auto result = run.run();
        // The logs are kept, since they show what went wrong.
        if (!result.ok())
            return absl::Status(
                result.status().code(), fmt::format("{}; logs in {}", statusText(result.status()), folder));
        results.push_back(*result);
        out << toJson(*result, m_options.seed).dump() << '\n' << std::flush;
    }
    if (results.size() > 1)
        out << slopesToJson(results.front(), results.back()).dump() << '\n';
    std::filesystem::remove_all(folder);
    return absl::OkStatus();
}

void RecoveryBench::modelStoreSize(std::ostream& out) const
{
    const std::array<StoreLoad, 2> loads { {
        { "month", 9700.0 / 86'400, { day, 7 * day, 14 * day, 21 * day, 30 * day } },
        { "day", 8.9, { hour, 6 * hour, 12 * hour, 18 * hour, 24 * hour } },
    } };
    for (const auto& load : loads) {
        // No code removes the records of an ended job.
        StoreGrowth growth({ .seed = m_options.seed, .jobsPerSecond = load.jobsPerSecond, .retention = std::nullopt });
        for (auto sample : load.samples) {
            auto size = growth.advanceTo(sample);
            json line { { "measure", "store_size" }, { "workload", load.name }, { "seed", m_options.seed },
                { "hours", sample / hour }, { "jobs", size.jobs },
                { "stored_mb", static_cast<double>(size.bytes) / bytesPerMegabyte } };
            out << line.dump() << '\n';
        }
    }
}

}
