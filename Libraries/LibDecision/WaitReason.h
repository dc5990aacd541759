#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

enum class WaitCause : uint8_t {
    NoFittingWorker, // No worker is large enough, even when empty.
    InsufficientResources, // Workers are large enough, but their resources are in use.
    Quota, // The team has reached its quota and may not borrow, or borrowing is not possible now.
    FairShare, // Teams further below their fair share come first.
    Backoff, // A failed attempt is retried later.
    Reserved, // Free resources are reserved for a job that has waited longer.
    ZoneOut, // Suitable workers are in zones that are out of service.
    Quarantine, // Suitable workers are quarantined, draining or leaving.
    Interference, // Workers with free resources host services that this kind would slow down.
    RateLimited, // Restarts after a mass loss of tasks, or starts in a refilling zone, are rate-limited.
    Decided, // A placement has been decided and is not yet confirmed.
    Running, // The job is placed.
    Revoking, // The previous attempt has not ended yet.
    Failed, // The job has failed and is not retried.
};

/// A reason why a job is pending, or its state if it is not, with an explanation for operators.
struct WaitReason {
    WaitCause cause { WaitCause::InsufficientResources };
    std::string detail {};

    bool operator==(const WaitReason&) const = default;
};

}
