#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibReport/BurnKey.h>
#include <LibReport/BurnObjective.h>
#include <LibReport/BurnRing.h>
#include <LibReport/BurnSlice.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Bergamot {

struct BurnTrackerOptions {
    MemberId member {};
    /// Bound on the (service, client, zone) series, about 8.6 KB each. Further clients and zones count as "other".
    size_t maxSeries { 1024 };
};

/// Counts good and bad requests of one entry host: one-minute buckets for 6 hours, one-hour buckets for 28 days.
/// All methods may be called from any thread. `now` is local monotonic time.
class BurnTracker {
public:
    static constexpr std::string_view other = "other";
    static constexpr size_t maxServices = 64;
    /// Longer names of clients and zones count as "other", so that the memory of a series is bounded.
    static constexpr size_t maxNameBytes = 128;

    /// Returns InvalidArgument for an empty member, or no room for series, and the errors of setObjectives().
    static absl::StatusOr<std::unique_ptr<BurnTracker>> create(
        const BurnTrackerOptions&, std::vector<BurnObjective>, uint64_t configVersion, Instant now);

    /// Replaces the objectives. Services that stay keep their counts, which were judged by the target of their time.
    /// Returns InvalidArgument for invalid or repeated objectives or more than maxServices, and then changes nothing.
    absl::Status setObjectives(std::vector<BurnObjective>, uint64_t configVersion);

    /// Counts one request as good when it succeeded within the latency target of the service. Returns NotFound for a
    /// service without objective, InvalidArgument for a negative latency or time, and OutOfRange for a time more than
    /// 6 h before the newest one; such requests are not counted.
    absl::Status record(std::string_view service, std::string_view client, std::string_view zone, bool succeeded,
        std::chrono::microseconds latency, Instant now);

    /// The counts up to `now`. Requests are recorded meanwhile, so the series can differ by a few milliseconds.
    BurnSlice slice(Instant now) const;

private:
    // Views of the three names; a lookup then needs no allocation.
    using KeyView = std::tuple<std::string_view, std::string_view, std::string_view>;

    struct KeyLess {
        using is_transparent = void;
        static KeyView view(const KeyView& key) { return key; }
        static KeyView view(const BurnKey& key) { return { key.service, key.client, key.zone }; }
        template <typename A, typename B> bool operator()(const A& a, const B& b) const { return view(a) < view(b); }
    };

    struct Series {
        BurnRing minutes;
        BurnRing hours;

        Series();
    };

    explicit BurnTracker(const BurnTrackerOptions& options, Instant start)
        : m_options(options)
        , m_start(start)
    {
    }

    Series& seriesFor(std::string_view service, std::string_view client, std::string_view zone, int64_t hour);
    void removeStaleSeries(int64_t hour);
    static WindowCounts windowsOf(const Series&, int64_t minute, int64_t hour);
    static void addToTrend(BurnTrend&, const Series&, int64_t minute, int64_t hour);

    const BurnTrackerOptions m_options;
    const Instant m_start;
    mutable std::mutex m_mutex;
    std::map<std::string, BurnObjective, std::less<>> m_objectives;
    uint64_t m_configVersion { 0 };
    std::map<BurnKey, Series, KeyLess> m_series;
    int64_t m_lastCleanupHour { -1 };
};

}
