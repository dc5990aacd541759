#include <LibDecision/StepDeadlines.h>

namespace Bergamot {

StepDeadlines StepDeadlines::create(int64_t acceptedAtMs, int64_t objectiveMs, int64_t chainMs)
{
    auto lateObjectiveMs = acceptedAtMs + lateObjectives * (objectiveMs - acceptedAtMs);
    return StepDeadlines(objectiveMs - chainMs, lateObjectiveMs - chainMs);
}

Outlook StepDeadlines::outlookAt(int64_t unixMs) const
{
    if (unixMs <= m_inTimeMs)
        return Outlook::InTime;
    return unixMs <= m_lateMs ? Outlook::Late : Outlook::TooLate;
}

std::optional<int64_t> StepDeadlines::endOf(Outlook outlook) const
{
    if (m_inTimeMs == neverMs || outlook == Outlook::TooLate)
        return std::nullopt;
    return 1 + (outlook == Outlook::InTime ? m_inTimeMs : m_lateMs);
}

}
