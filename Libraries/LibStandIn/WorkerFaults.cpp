#include <LibStandIn/JsonField.h>
#include <LibStandIn/WorkerFaults.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <string_view>

namespace Bergamot {

using nlohmann::json;

static std::optional<StartFault> parseStartFault(const json& value)
{
    if (value == "refuse")
        return StartFault::Refuse;
    if (value == "fail")
        return StartFault::Fail;
    if (value == "off")
        return StartFault::None;
    return std::nullopt;
}

static bool isValidValue(const std::string& key, const json& value)
{
    if (key == "worker")
        return value.is_string();
    if (key == "die" || key == "revive")
        return value.is_boolean();
    if (key == "fail_starts")
        return parseStartFault(value).has_value();
    if (key == "slow_factor")
        return value.is_number() && value.get<double>() > 0;
    return value.is_number_integer() && value.get<int64_t>() >= 0;
}

absl::StatusOr<WorkerFaults::Effect> WorkerFaults::apply(const json& fault, Instant now)
{
    static constexpr std::array<std::string_view, 11> known { "worker", "die", "revive", "fail_starts", "slow_factor",
        "freeze_ms", "late_ms", "count", "cross", "truncate", "lose_answers" };
    if (!fault.is_object())
        return absl::InvalidArgumentError("a JSON object is required");
    for (const auto& [key, value] : fault.items()) {
        if (std::ranges::find(known, key) == known.end() || !isValidValue(key, value))
            return absl::InvalidArgumentError(fmt::format("bad fault {}", key));
    }
    Effect effect { .startFault = parseStartFault(jsonMember(fault, "fail_starts")),
        .crashes = jsonFlag(fault, "die") };
    if (fault.contains("slow_factor"))
        effect.slowFactor = jsonNumber(fault, "slow_factor", 1);
    m_isCrashed = effect.crashes || (m_isCrashed && !jsonFlag(fault, "revive"));
    if (fault.contains("freeze_ms"))
        m_frozenUntil = now + Milliseconds(jsonInteger(fault, "freeze_ms"));
    if (fault.contains("late_ms")) {
        m_replyDelay = Milliseconds(jsonInteger(fault, "late_ms"));
        m_delayedReplies = jsonInteger(fault, "count", 1);
    }
    m_lostReplies = jsonInteger(fault, "lose_answers", m_lostReplies);
    m_swappedReplies = jsonInteger(fault, "cross", m_swappedReplies);
    m_truncatedReplies = jsonInteger(fault, "truncate", m_truncatedReplies);
    return effect;
}

Milliseconds WorkerFaults::takeReplyDelay() { return takeOne(m_delayedReplies) ? m_replyDelay : Milliseconds { 0 }; }

bool WorkerFaults::takeOne(int64_t& count)
{
    if (count <= 0)
        return false;
    --count;
    return true;
}

}
