#pragma once

#include <LibCore/Ids.h>
#include <LibEntry/RanState.h>
#include <string>

namespace Bergamot {

enum class QuickResult : uint8_t {
    Answered,
    UpstreamError,
    Overloaded,
    DeadlineExceeded,
    NoUpstream,
    NoAuthority,
    OutcomeUnknown
};

/// How a quick request ended. `body` is the upstream's whole answer for `Answered` and `UpstreamError`.
struct QuickOutcome {
    QuickResult result { QuickResult::NoUpstream };
    RanState ran { RanState::No };
    int status { 0 };
    std::string body {};
    std::string detail {};
    ZoneId zone {};
    int retryAfterSeconds { 0 };
};

}
