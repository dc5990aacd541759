#pragma once

#include <LibCore/Time.h>
#include <absl/status/status.h>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace Bergamot {

/// Faults of the log, set over `POST /fault` and by tests.
class LogFaults {
public:
    /// InvalidArgument for an unknown key or a value of another type; nothing changes then.
    absl::Status apply(const nlohmann::json& order, Instant now);

    bool isDown(Instant now) const { return now < m_downUntil; }

    /// True while a call from this member has no effect and gets no answer.
    bool isSilent(const std::string& member, Instant now) const;
    Milliseconds delay(Instant now) const { return now < m_slowUntil ? m_delay : Milliseconds { 0 }; }

    /// True for each of the next appends whose answer is to be lost.
    bool takeLostAnswer() { return take(m_lostAnswers); }
    bool takeDuplicateAnswer() { return take(m_duplicateAnswers); }

private:
    static bool take(int64_t& count);

    Instant m_downUntil {};
    Instant m_silentUntil {};
    Instant m_slowUntil {};
    Milliseconds m_delay { 0 };
    int64_t m_lostAnswers { 0 };
    int64_t m_duplicateAnswers { 0 };
    std::map<std::string, Instant> m_cutOffUntil;
};

}
