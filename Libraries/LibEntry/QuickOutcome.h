#pragma once

#include <LibCore/Ids.h>
#include <LibEntry/RanState.h>
#include <string>

namespace Bergamot {

enum class QuickResult : uint8_t {
    Completed,
    UpstreamError,
    Overloaded,
    DeadlineExceeded,
    NoUpstream,
    NoAuthority,
    OutcomeUnknown
};

/// Outcome of a quick request. `body` is the body of the upstream's reply for `Completed`, otherwise empty.
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
