#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// A fault of the store stand-in. It is active for `duration`, except for HistoryTruncation.
struct StoreFault {
    enum class Kind : uint8_t {
        /// Rejects every request with status 503 and carries out none.
        Unavailable,
        /// Neither carries out nor replies to any request.
        Unresponsive,
        /// Delays every request by `delay`, half of it before and half of it after the request takes effect.
        Slow,
        /// Carries out appends and sends no reply.
        LostAppendReplies,
        /// Carries out appends after `delay` and sends no reply.
        DelayedAppends,
        /// Sends no reply to reads of the newest operator records.
        LostOperatorReplies,
        /// Delays replies to reads of the newest operator records by `delay`.
        SlowOperatorReplies,
        /// Deletes older records once, when the fault is applied. `duration` and `delay` have no effect.
        HistoryTruncation
    };

    bool operator==(const StoreFault&) const = default;

    Kind kind { Kind::Unavailable };
    Milliseconds duration { 0 };
    Milliseconds delay { 0 };
};

}
