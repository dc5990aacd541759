#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

enum class WaitCause : uint8_t {
    NoFittingWorker, // No worker is large enough, even when empty.
    InsufficientResources, // Workers are large enough, but are in use.
    Quota, // The team is at its quota and may not borrow, or borrowing is not possible now.
    FairShare, // Teams further below their share come first.
    Backoff, // A failed attempt is retried later.
    Reserved, // Free room is reserved for a job that has waited longer.
    ZoneOut, // Fitting workers are in zones that are out.
    Quarantine, // Fitting workers are quarantined, draining or leaving.
    Interference, // Free workers host services that this kind would slow down.
    RateLimited, // Restarts after a loss of many tasks are paced.
    Decided, // A placement is decided and not yet confirmed.
    Running, // The job is placed.
    Revoking, // The previous attempt has not ended yet.
    Failed, // The job has been given up.
};

/// One reason why a job is not placed, with an explanation for operators.
struct WaitReason {
    WaitCause cause { WaitCause::InsufficientResources };
    std::string detail {};

    bool operator==(const WaitReason&) const = default;
};

}
