#include <LibStandIn/JsonField.h>
#include <LibStandIn/LogFaults.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <string_view>

namespace Bergamot {

using nlohmann::json;

static constexpr Milliseconds defaultFaultTime { 5000 };

static absl::Status checkOrder(const json& order)
{
    static constexpr std::array<std::string_view, 10> known { "down_ms", "silent_ms", "slow_ms", "for_ms",
        "lose_answers", "duplicate_answers", "cut_off", "expire_before", "stream", "clear" };
    if (!order.is_object() || order.empty())
        return absl::InvalidArgumentError("a JSON object with a fault is required");
    for (const auto& [key, value] : order.items()) {
        if (std::ranges::find(known, key) == known.end())
            return absl::InvalidArgumentError(fmt::format("unknown fault {}", key));
        bool isText = key == "cut_off" || key == "stream";
        bool matches = isText ? value.is_string()
            : key == "clear"  ? value.is_boolean()
                              : value.is_number_integer() && value.get<int64_t>() >= 0;
        if (!matches)
            return absl::InvalidArgumentError(fmt::format("bad value of {}", key));
    }
    return absl::OkStatus();
}

absl::Status LogFaults::apply(const json& order, Instant now)
{
    if (auto status = checkOrder(order); !status.ok())
        return status;
    if (jsonFlag(order, "clear"))
        *this = LogFaults();
    auto until = now + Milliseconds(jsonInteger(order, "for_ms", defaultFaultTime.count()));
    if (order.contains("down_ms"))
        m_downUntil = now + Milliseconds(jsonInteger(order, "down_ms"));
    if (order.contains("silent_ms"))
        m_silentUntil = now + Milliseconds(jsonInteger(order, "silent_ms"));
    if (order.contains("slow_ms")) {
        m_delay = Milliseconds(jsonInteger(order, "slow_ms"));
        m_slowUntil = until;
    }
    if (order.contains("cut_off"))
        m_cutOffUntil[jsonText(order, "cut_off")] = until;
    m_lostAnswers = jsonInteger(order, "lose_answers", m_lostAnswers);
    m_duplicateAnswers = jsonInteger(order, "duplicate_answers", m_duplicateAnswers);
    return absl::OkStatus();
}

bool LogFaults::isSilent(const std::string& member, Instant now) const
{
    auto isCutOff = [&](const std::string& name) {
        auto it = m_cutOffUntil.find(name);
        return it != m_cutOffUntil.end() && now < it->second;
    };
    return now < m_silentUntil || isCutOff("*") || isCutOff(member);
}

bool LogFaults::take(int64_t& count)
{
    if (count <= 0)
        return false;
    --count;
    return true;
}

}
