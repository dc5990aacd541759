#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <string>
#include <variant>

namespace Bergamot {

/// Why a running attempt is to be stopped.
enum class EvictReason : uint8_t {
    Interference, // A service on the same host misses its latency budget.
    UnderDeclared, // The task uses far more than it declared.
    Urgent, // An urgent job or a service needs the resources.
    Reservation, // A large job that has waited long needs the resources.
    ZoneOut, // Operators have taken the zone out of service.
    Draining, // The worker is leaving or draining.
    CapacityLost, // The worker's capacity has shrunk below its commitments.
    Cancelled, // The job was cancelled.
};

/// Commit resources of `worker` to the next attempt of `job`. The commitment lasts from the decision until
/// taskEnded() or placementDropped().
struct PlaceTask {
    JobId job {};
    WorkerId worker {};

    bool operator==(const PlaceTask&) const = default;
};

/// Revoke the running attempt of `job`. If `checkpoint` is set, the worker saves a checkpoint first. Otherwise, it
/// stops the task immediately and the work since the last checkpoint is lost.
struct EvictTask {
    JobId job {};
    EvictReason reason { EvictReason::Interference };
    bool checkpoint { true };

    bool operator==(const EvictTask&) const = default;
};

/// Limit the task to `speedPercent` of its processor time; 100 lifts the limit.
struct ThrottleTask {
    JobId job {};
    int32_t speedPercent { 100 };

    bool operator==(const ThrottleTask&) const = default;
};

/// Put the worker in quarantine (`quarantined`) or release it.
struct QuarantineWorker {
    WorkerId worker {};
    bool quarantined { false };

    bool operator==(const QuarantineWorker&) const = default;
};

/// Give up the job because it can't succeed; `reason` is the explanation for its owner.
struct FailJob {
    JobId job {};
    std::string reason {};

    bool operator==(const FailJob&) const = default;
};

using Decision = std::variant<PlaceTask, EvictTask, ThrottleTask, QuarantineWorker, FailJob>;

}
