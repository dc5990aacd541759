#include <LibStandIn/JsonField.h>
#include <LibStandIn/LogFaults.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <string_view>

namespace Bergamot {

using nlohmann::json;

static constexpr Milliseconds defaultFaultDuration { 5000 };

static absl::Status validateFault(const json& fault)
{
    static constexpr std::array<std::string_view, 10> known { "down_ms", "silent_ms", "slow_ms", "for_ms",
        "lose_answers", "duplicate_answers", "cut_off", "expire_before", "stream", "clear" };
    if (!fault.is_object() || fault.empty())
        return absl::InvalidArgumentError("a JSON object with a fault is required");
    for (const auto& [key, value] : fault.items()) {
        if (std::ranges::find(known, key) == known.end())
            return absl::InvalidArgumentError(fmt::format("unknown fault {}", key));
        bool isString = key == "cut_off" || key == "stream";
        bool matches = isString ? value.is_string()
            : key == "clear"    ? value.is_boolean()
                                : value.is_number_integer() && value.get<int64_t>() >= 0;
        if (!matches)
            return absl::InvalidArgumentError(fmt::format("bad value of {}", key));
    }
    return absl::OkStatus();
}

absl::Status LogFaults::apply(const json& fault, Instant now)
{
    if (auto status = validateFault(fault); !status.ok())
        return status;
    if (jsonFlag(fault, "clear"))
        *this = LogFaults();
    auto until = now + Milliseconds(jsonInteger(fault, "for_ms", defaultFaultDuration.count()));
    if (fault.contains("down_ms"))
        m_downUntil = now + Milliseconds(jsonInteger(fault, "down_ms"));
    if (fault.contains("silent_ms"))
        m_silentUntil = now + Milliseconds(jsonInteger(fault, "silent_ms"));
    if (fault.contains("slow_ms")) {
        m_delay = Milliseconds(jsonInteger(fault, "slow_ms"));
        m_slowUntil = until;
    }
    if (fault.contains("cut_off"))
        m_partitionedUntil[jsonText(fault, "cut_off")] = until;
    m_lostReplies = jsonInteger(fault, "lose_answers", m_lostReplies);
    m_duplicateReplies = jsonInteger(fault, "duplicate_answers", m_duplicateReplies);
    return absl::OkStatus();
}

bool LogFaults::isSilent(const std::string& member, Instant now) const
{
    auto isPartitioned = [&](const std::string& name) {
        auto it = m_partitionedUntil.find(name);
        return it != m_partitionedUntil.end() && now < it->second;
    };
    return now < m_silentUntil || isPartitioned("*") || isPartitioned(member);
}

bool LogFaults::takeOne(int64_t& count)
{
    if (count <= 0)
        return false;
    --count;
    return true;
}

}
