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
    /// Maximum number of (service, client, zone) series, about 8.6 KB each. When the limit is reached, requests of
    /// further clients and zones count as "other".
    size_t maxSeries { 1024 };
};

/// Counts the good and bad requests of one entry host in one-minute buckets for 6 hours and one-hour buckets for 28
/// days. All methods may be called from any thread. `now` is local monotonic time.
class BurnTracker {
public:
    static constexpr std::string_view other = "other";
    static constexpr size_t maxServices = 64;
    /// Client and zone names longer than this count as "other", which bounds the memory of a series.
    static constexpr size_t maxNameBytes = 128;

    /// Returns InvalidArgument for an empty member name, for maxSeries of 0 or for a negative time, and the errors of
    /// setObjectives().
    static absl::StatusOr<std::unique_ptr<BurnTracker>> create(
        const BurnTrackerOptions&, std::vector<BurnObjective>, uint64_t configVersion, Instant now);

    /// Replaces the objectives. Services with an old and a new objective keep their counts, which were classified by
    /// the latency target in force at the time of each request; the counts of all other services are removed. Returns
    /// InvalidArgument for invalid or duplicate objectives or more than maxServices, and then changes nothing.
    absl::Status setObjectives(std::vector<BurnObjective>, uint64_t configVersion);

    /// Counts one request as good when it succeeded within the latency target of the service, otherwise as bad. Returns
    /// NotFound for a service without objective, InvalidArgument for a negative latency or time, and OutOfRange for a
    /// time more than 6 h before the newest request of the same series. A request is not counted when an error is
    /// returned.
    absl::Status record(std::string_view service, std::string_view client, std::string_view zone, bool succeeded,
        std::chrono::microseconds latency, Instant now);

    /// Returns the counts up to `now`. Requests can be recorded while the slice is built, so the counts of different
    /// series can be a few milliseconds apart.
    BurnSlice slice(Instant now) const;

private:
    // Service, client and zone as string views, so that a lookup allocates no memory.
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

    Series& findOrCreateSeries(std::string_view service, std::string_view client, std::string_view zone, int64_t hour);
    void removeStaleSeries(int64_t hour);
    static WindowCounts computeWindows(const Series&, int64_t minute, int64_t hour);
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
