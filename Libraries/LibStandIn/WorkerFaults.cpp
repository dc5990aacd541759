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

absl::StatusOr<WorkerFaults::Effect> WorkerFaults::apply(const json& order, Instant now)
{
    static constexpr std::array<std::string_view, 11> known { "worker", "die", "revive", "fail_starts", "slow_factor",
        "freeze_ms", "late_ms", "count", "cross", "truncate", "lose_answers" };
    if (!order.is_object())
        return absl::InvalidArgumentError("a JSON object is required");
    for (const auto& [key, value] : order.items()) {
        if (std::ranges::find(known, key) == known.end() || !isValidValue(key, value))
            return absl::InvalidArgumentError(fmt::format("bad fault {}", key));
    }
    Effect effect { .startFault = parseStartFault(jsonMember(order, "fail_starts")), .dies = jsonFlag(order, "die") };
    if (order.contains("slow_factor"))
        effect.slowFactor = jsonNumber(order, "slow_factor", 1);
    m_isDead = effect.dies || (m_isDead && !jsonFlag(order, "revive"));
    if (order.contains("freeze_ms"))
        m_frozenUntil = now + Milliseconds(jsonInteger(order, "freeze_ms"));
    if (order.contains("late_ms")) {
        m_lateness = Milliseconds(jsonInteger(order, "late_ms"));
        m_lateAnswers = jsonInteger(order, "count", 1);
    }
    m_lostAnswers = jsonInteger(order, "lose_answers", m_lostAnswers);
    m_crossedAnswers = jsonInteger(order, "cross", m_crossedAnswers);
    m_truncatedAnswers = jsonInteger(order, "truncate", m_truncatedAnswers);
    return effect;
}

Milliseconds WorkerFaults::takeLateness() { return take(m_lateAnswers) ? m_lateness : Milliseconds { 0 }; }

bool WorkerFaults::take(int64_t& count)
{
    if (count <= 0)
        return false;
    --count;
    return true;
}

}
