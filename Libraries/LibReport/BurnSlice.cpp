#include <LibReport/BurnSlice.h>
#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Bergamot {

using Json = nlohmann::json;

// Saturated hourly buckets of 28 days add up to 2^41.4. maxCount and maxSeries together keep the sums of 64 hosts below
// 2^64.
static constexpr uint64_t maxCount = uint64_t { 1 } << 42;
static constexpr size_t maxSeries = size_t { 1 } << 16;
static constexpr size_t maxNesting = 8;

static Json encodeCounts(const BurnCounts& counts) { return Json::array({ counts.good, counts.bad }); }

template <typename Counts> static Json encodeAll(const Counts& counts)
{
    auto list = Json::array();
    for (const auto& it : counts)
        list.push_back(encodeCounts(it));
    return list;
}

std::string encodeBurnSlice(const BurnSlice& slice)
{
    Json json { { "member", slice.member }, { "config_version", slice.configVersion },
        { "coverage_minutes", slice.coverageMinutes }, { "objectives", Json::array() }, { "series", Json::array() },
        { "trends", Json::array() } };
    for (const auto& it : slice.objectives) {
        json["objectives"].push_back({ { "service", it.service }, { "latency_target_ms", it.latencyTarget.count() },
            { "objective_percent", it.objectivePercent } });
    }
    for (const auto& it : slice.series) {
        json["series"].push_back({ { "service", it.key.service }, { "client", it.key.client }, { "zone", it.key.zone },
            { "windows", encodeAll(it.windows) } });
    }
    for (const auto& it : slice.trends) {
        json["trends"].push_back(
            { { "service", it.service }, { "recent", encodeAll(it.recent) }, { "daily", encodeAll(it.daily) } });
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// The read functions throw std::invalid_argument or an exception of the JSON library; decodeBurnSlice() converts both
// to a status.
[[noreturn]] static void reject(const char* what) { throw std::invalid_argument(what); }

static uint64_t readCount(const Json& json)
{
    if (!json.is_number_unsigned() || json.get<uint64_t>() > maxCount)
        reject("a count is not an unsigned integer within the limit");
    return json.get<uint64_t>();
}

static BurnCounts readCounts(const Json& json)
{
    if (!json.is_array() || json.size() < 2)
        reject("counts are not a pair of good and bad counts");
    return { .good = readCount(json[0]), .bad = readCount(json[1]) };
}

static std::vector<BurnCounts> readTrend(const Json& json, const char* name, size_t maxEntries)
{
    std::vector<BurnCounts> counts;
    for (const auto& it : json.value(name, Json::array()))
        counts.push_back(readCounts(it));
    if (counts.size() > maxEntries)
        reject("a trend has too many entries");
    return counts;
}

static BurnObjective readObjective(const Json& json)
{
    BurnObjective objective {
        .service = json.value("service", ""),
        .latencyTarget = Milliseconds { json.value("latency_target_ms", int64_t { 0 }) },
        .objectivePercent = json.value("objective_percent", 0.0),
    };
    if (!objective.isValid())
        reject("an objective is out of range");
    return objective;
}

static BurnSeries readSeries(const Json& json)
{
    BurnSeries series {
        .key = { json.value("service", ""), json.value("client", ""), json.value("zone", "") },
    };
    const auto windows = json.value("windows", Json::array());
    for (size_t i = 0; i < std::min(windows.size(), burnWindowCount); ++i)
        series.windows[i] = readCounts(windows[i]);
    return series;
}

static BurnSlice readSlice(const Json& json)
{
    BurnSlice slice {
        .member = json.value("member", ""),
        .configVersion = json.value("config_version", uint64_t { 0 }),
        .coverageMinutes = json.value("coverage_minutes", int64_t { 0 }),
    };
    if (slice.member.empty())
        reject("the member name is missing or empty");
    if (slice.coverageMinutes < 0 || slice.coverageMinutes > burnWindowMinutes.back())
        reject("the coverage is negative or longer than 28 days");
    for (const auto& it : json.value("objectives", Json::array()))
        slice.objectives.push_back(readObjective(it));
    for (const auto& it : json.value("series", Json::array()))
        slice.series.push_back(readSeries(it));
    if (slice.series.size() > maxSeries)
        reject("there are too many series");
    for (const auto& it : json.value("trends", Json::array())) {
        slice.trends.push_back({ .service = it.value("service", ""),
            .recent = readTrend(it, "recent", BurnTrend::recentCount),
            .daily = readTrend(it, "daily", BurnTrend::dailyCount) });
    }
    return slice;
}

absl::StatusOr<BurnSlice> decodeBurnSlice(std::string_view text)
{
    if (text.size() > maxBurnSliceBytes)
        return absl::InvalidArgumentError(fmt::format("burn slice is too large: {} bytes", text.size()));
    // The parser has no depth limit, and destroying a deeply nested value recurses and could overflow the stack.
    auto limitDepth = [](int depth, Json::parse_event_t, Json&) {
        if (depth > static_cast<int>(maxNesting))
            reject("the JSON is nested too deeply");
        return true;
    };
    try {
        return readSlice(Json::parse(text, limitDepth));
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(fmt::format("malformed burn slice: {}", error.what()));
    }
}

}
