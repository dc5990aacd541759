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

/// Ejects upstreams that fail in a row or are much slower than the others, for a limited time.
///
/// At most a stated share is ejected, and only while the rest can carry the load. Not thread-safe.
class OutlierDetector {
public:
    struct Options {
        int32_t consecutiveFailures { 5 };
        /// Mean latency of an interval against the median of the others, in thousandths.
        int64_t latencyFactorMillis { 3000 };
        /// Latencies below this are never outliers.
        std::chrono::microseconds minLatency { 5000 };
        /// Intervals in a row that must be slow.
        int32_t slowIntervals { 2 };
        int32_t minSamples { 10 };
        Milliseconds interval { 1000 };
        Milliseconds baseEjection { 5000 };
        Milliseconds maxEjection { 120000 };
        /// Most upstreams ejected at a time, in thousandths; at least one may be ejected when there are two or more.
        int64_t maxEjectedMillis { 200 };
        /// The rest must carry the load at this utilisation at most, in thousandths.
        int64_t maxUtilisationMillis { 850 };
        SlowStart::Options slowStart {};
    };

    struct Upstream {
        WorkerId id {};
        /// Requests that it can run at once.
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

    /// Replaces the list of upstreams; known ones keep their history.
    absl::Status setUpstreams(const std::vector<Upstream>&, Instant now);

    /// Notes how many requests run on all upstreams together, in the units of Upstream::capacity.
    absl::Status noteLoad(int64_t inProgress);

    /// Notes the end of a request. Gives the ejection that follows at once, if any.
    absl::StatusOr<std::optional<Ejection>> noteSuccess(
        const WorkerId&, std::chrono::microseconds latency, Instant now);
    absl::StatusOr<std::optional<Ejection>> noteFailure(const WorkerId&, Instant now);

    /// Compares latencies once an interval and gives new ejections.
    absl::StatusOr<std::vector<Ejection>> evaluate(Instant now);

    /// Weight in thousandths: 0 while ejected, then rising to 1000. NotFound for an unknown upstream.
    absl::StatusOr<int64_t> weightMillis(const WorkerId&, Instant now) const;

    int64_t ejected(Instant now) const;
    /// Ejections that were wanted but refused by the share or capacity bound.
    int64_t refusedEjections() const { return m_refused; }

private:
    struct State {
        int64_t capacity { 0 };
        int32_t failures { 0 };
        int32_t slow { 0 };
        int32_t ejections { 0 };
        int64_t samples { 0 };
        int64_t latencyMicros { 0 };
        std::optional<Instant> until {};
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
    int64_t m_refused { 0 };
    std::map<WorkerId, State> m_states;
};

}
