#include "DayBench.h"
#include "DayModel.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <vector>

namespace Bergamot {

using nlohmann::json;

static json toJson(const DayQueueResult& queue)
{
    auto jobs = std::max(1U, queue.jobs);
    json line { { "queue", queue.queue }, { "jobs", queue.jobs } };
    if (queue.shareServing > 0) {
        line["at_work"] = queue.shareServing;
        line["below_target"] = queue.shareBelowTarget;
        return line;
    }
    line["on_time"] = static_cast<double>(queue.onTime) / jobs;
    line["late"] = static_cast<double>(queue.late) / jobs;
    return line;
}

bool runDayBench(uint64_t seed, const std::string& only, std::ostream& out)
{
    bool known = false;
    std::vector<DaySize> sizes { DaySize::riga(), DaySize::sofia(), DaySize::rigaGrown(), DaySize::sofiaGrown(),
        DaySize::rigaWide(), DaySize::rigaLarge() };
    for (const auto& faultless : { DaySize::riga(), DaySize::sofia() }) {
        auto faulty = faultless;
        faulty.faults = true;
        faulty.name += "-faults-day";
        sizes.push_back(faulty);
    }
    for (const auto& size : sizes) {
        if (!only.empty() && only != size.name)
            continue;
        known = true;
        auto result = DayModel(size, seed).run();
        auto seconds = static_cast<double>(size.durationMs) / 1000;
        json queues = json::array();
        for (const auto& queue : result.queues)
            queues.push_back(toJson(queue));
        json line { { "measure", "day" }, { "workload", size.name }, { "seed", seed }, { "queues", queues },
            { "starts_per_second", static_cast<double>(result.starts) / seconds },
            { "plans_per_second", static_cast<double>(result.plans) / seconds },
            { "micros_per_start", result.decisionMicros / static_cast<double>(std::max<uint64_t>(1, result.starts)) },
            { "core_share", result.decisionMicros / 1e6 / seconds },
            { "longest_plan_micros", result.longestPlanMicros }, { "pace_orders", result.throttleCommands },
            { "stop_orders", result.stopCommands } };
        out << line.dump() << '\n';
    }
    return known;
}

}
