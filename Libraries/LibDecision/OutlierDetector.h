#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibDecision/SlowStart.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Bergamot {

/// Ejects upstreams for a limited time after consecutive failures or while they are much slower than the others.
///
/// The ejected share is bounded, and an upstream is ejected only while the remaining ones have capacity for the load.
/// Not thread-safe.
class OutlierDetector {
public:
    struct Options {
        int32_t consecutiveFailures { 5 };
        /// An upstream is slow when its mean latency of an interval exceeds the median of the other upstreams times
        /// this factor, in thousandths.
        int64_t latencyFactorMillis { 3000 };
        /// An upstream with a lower mean latency is never an outlier.
        std::chrono::microseconds minLatency { 5000 };
        /// Number of consecutive slow intervals before an ejection.
        int32_t consecutiveSlowIntervals { 2 };
        /// An interval with fewer successful requests is not evaluated for the upstream.
        int32_t minSamples { 10 };
        Milliseconds interval { 1000 };
        Milliseconds baseEjectionTime { 5000 };
        Milliseconds maxEjectionTime { 120000 };
        /// Maximum share of upstreams that are ejected at a time, in thousandths. With two or more upstreams, the
        /// bound is at least one unless the share is 0.
        int64_t maxEjectedShareMillis { 200 };
        /// Maximum utilisation of the remaining upstreams after an ejection, in thousandths.
        int64_t maxUtilisationMillis { 850 };
        SlowStart::Options slowStart {};
    };

    struct Upstream {
        WorkerId id {};
        /// Maximum number of concurrent requests.
        int64_t capacity { 0 };
        bool operator==(const Upstream&) const = default;
    };

    enum class Cause {
        Failures,
        Latency,
    };

    struct Ejection {
        WorkerId upstream {};
        Cause cause { Cause::Failures };
        Instant until {};
        bool operator==(const Ejection&) const = default;
    };

    static absl::StatusOr<OutlierDetector> create(Options);

    /// Replaces the list of upstreams. Upstreams that are in both lists keep their state.
    absl::Status setUpstreams(const std::vector<Upstream>&, Instant now);

    /// Records the number of requests in progress on all upstreams, in the unit of Upstream::capacity.
    absl::Status recordLoad(int64_t inProgress);

    /// Record the result of a request and return the ejection that it causes, if any. Return NotFound for an unknown
    /// upstream.
    absl::StatusOr<std::optional<Ejection>> recordSuccess(
        const WorkerId&, std::chrono::microseconds latency, Instant now);
    absl::StatusOr<std::optional<Ejection>> recordFailure(const WorkerId&, Instant now);

    /// Compares the latencies of the upstreams once per interval and returns the new ejections.
    absl::StatusOr<std::vector<Ejection>> evaluate(Instant now);

    /// Routing weight in thousandths: 0 while the upstream is ejected, then increasing to 1000 during slow start.
    /// Returns NotFound for an unknown upstream.
    absl::StatusOr<int64_t> weightMillis(const WorkerId&, Instant now) const;

    int64_t ejected(Instant now) const;
    /// Number of ejections that the bounds on the ejected share or on utilisation have prevented.
    int64_t rejectedEjections() const { return m_rejectedEjections; }

private:
    struct State {
        int64_t capacity { 0 };
        int32_t consecutiveFailures { 0 };
        int32_t consecutiveSlowIntervals { 0 };
        int32_t ejections { 0 };
        int64_t samples { 0 };
        int64_t latencySumMicros { 0 };
        std::optional<Instant> ejectedUntil {};
    };

    OutlierDetector(Options, SlowStart);
    absl::Status advance(Instant now);
    bool mayEject(const State&, Instant now) const;
    std::optional<Ejection> eject(const WorkerId&, State&, Cause, Instant now);

    Options m_options;
    SlowStart m_slowStart;
    Instant m_now {};
    Instant m_intervalEnd {};
    int64_t m_inProgress { 0 };
    int64_t m_rejectedEjections { 0 };
    std::map<WorkerId, State> m_states;
};

}
