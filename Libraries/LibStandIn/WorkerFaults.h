#pragma once

#include <LibCore/Time.h>
#include <LibStandIn/StartFault.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace Bergamot {

/// Injected faults of one worker's replies, set by `POST /fault` and by tests.
class WorkerFaults {
public:
    /// The part of a fault request that affects the worker itself and not its replies.
    struct Effect {
        std::optional<StartFault> startFault;
        std::optional<double> slowFactor;
        bool crashes { false };
    };

    /// Returns InvalidArgument and changes no fault when a key is unknown or its value is invalid.
    absl::StatusOr<Effect> apply(const nlohmann::json& fault, Instant now);

    bool isCrashed() const { return m_isCrashed; }
    Instant frozenUntil() const { return m_frozenUntil; }
    bool isFrozen(Instant now) const { return now < m_frozenUntil; }

    /// Consumes one delayed reply and returns its delay, or zero when no reply is to be delayed.
    Milliseconds takeReplyDelay();
    bool takeLostReply() { return takeOne(m_lostReplies); }
    bool takeSwappedReply() { return takeOne(m_swappedReplies); }
    bool takeTruncatedReply() { return takeOne(m_truncatedReplies); }

private:
    static bool takeOne(int64_t& count);

    bool m_isCrashed { false };
    Instant m_frozenUntil {};
    Milliseconds m_replyDelay { 0 };
    int64_t m_delayedReplies { 0 };
    int64_t m_lostReplies { 0 };
    int64_t m_swappedReplies { 0 };
    int64_t m_truncatedReplies { 0 };
};

}
