#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace Bergamot {

/// This process holds the claim and may dispatch the request once.
struct ClaimGranted {
    bool operator==(const ClaimGranted&) const = default;
};

/// The request has run before; this is its recorded reply.
struct ClaimReplay {
    int32_t status { 0 };
    std::string body {};

    bool operator==(const ClaimReplay&) const = default;
};

/// The request was claimed before, and its outcome is unknown or still pending.
struct ClaimUnresolved {
    bool operator==(const ClaimUnresolved&) const = default;
};

/// The key was used before for a request with a different body.
struct ClaimMismatch {
    bool operator==(const ClaimMismatch&) const = default;
};

/// This process does not hold the claim and does not dispatch the request.
struct ClaimRejected {
    std::string reason {};

    bool operator==(const ClaimRejected&) const = default;
};

using ClaimResult = std::variant<ClaimGranted, ClaimReplay, ClaimUnresolved, ClaimMismatch, ClaimRejected>;

}
