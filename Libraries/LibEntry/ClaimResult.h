#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace Bergamot {

/// The claim is this process's; the request may be dispatched once.
struct ClaimGranted {
    bool operator==(const ClaimGranted&) const = default;
};

/// The request has run; this is its recorded answer.
struct ClaimReplay {
    int32_t status { 0 };
    std::string body {};

    bool operator==(const ClaimReplay&) const = default;
};

/// The request is claimed and its outcome is not known (yet).
struct ClaimOpen {
    bool operator==(const ClaimOpen&) const = default;
};

/// The key was used for a request with another body.
struct ClaimMismatch {
    bool operator==(const ClaimMismatch&) const = default;
};

/// The request was not claimed and surely does not run.
struct ClaimRefused {
    std::string reason {};

    bool operator==(const ClaimRefused&) const = default;
};

using ClaimResult = std::variant<ClaimGranted, ClaimReplay, ClaimOpen, ClaimMismatch, ClaimRefused>;

}
