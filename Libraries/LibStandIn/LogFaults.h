#pragma once

#include <LibCore/Time.h>
#include <absl/status/status.h>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace Bergamot {

/// Injected faults of the log, set by `POST /fault` and by tests.
class LogFaults {
public:
    /// Returns InvalidArgument and changes no fault when a key is unknown or its value has the wrong type.
    absl::Status apply(const nlohmann::json& fault, Instant now);

    bool isDown(Instant now) const { return now < m_downUntil; }

    /// True while calls from this member have no effect and get no reply.
    bool isSilent(const std::string& member, Instant now) const;
    Milliseconds delay(Instant now) const { return now < m_slowUntil ? m_delay : Milliseconds { 0 }; }

    /// Consumes one fault and returns true while replies to appends are to be lost.
    bool takeLostReply() { return takeOne(m_lostReplies); }
    /// Consumes one fault and returns true while replies are to be replaced by a copy of the previous reply.
    bool takeDuplicateReply() { return takeOne(m_duplicateReplies); }

private:
    static bool takeOne(int64_t& count);

    Instant m_downUntil {};
    Instant m_silentUntil {};
    Instant m_slowUntil {};
    Milliseconds m_delay { 0 };
    int64_t m_lostReplies { 0 };
    int64_t m_duplicateReplies { 0 };
    std::map<std::string, Instant> m_partitionedUntil;
};

}
