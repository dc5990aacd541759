#pragma once

#include <LibCore/Time.h>
#include <LibStandIn/StartFault.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace Bergamot {

/// Faults of one worker's answers, set over `POST /fault` and by tests.
class WorkerFaults {
public:
    /// What an order changes besides the answers.
    struct Effect {
        std::optional<StartFault> startFault;
        std::optional<double> slowFactor;
        bool dies { false };
    };

    /// InvalidArgument for an unknown key or a bad value; nothing changes then.
    absl::StatusOr<Effect> apply(const nlohmann::json& order, Instant now);

    bool isDead() const { return m_isDead; }
    Instant frozenUntil() const { return m_frozenUntil; }
    bool isFrozen(Instant now) const { return now < m_frozenUntil; }

    /// Zero when this answer is not late.
    Milliseconds takeLateness();
    bool takeLostAnswer() { return take(m_lostAnswers); }
    bool takeCrossedAnswer() { return take(m_crossedAnswers); }
    bool takeTruncatedAnswer() { return take(m_truncatedAnswers); }

private:
    static bool take(int64_t& count);

    bool m_isDead { false };
    Instant m_frozenUntil {};
    Milliseconds m_lateness { 0 };
    int64_t m_lateAnswers { 0 };
    int64_t m_lostAnswers { 0 };
    int64_t m_crossedAnswers { 0 };
    int64_t m_truncatedAnswers { 0 };
};

}
