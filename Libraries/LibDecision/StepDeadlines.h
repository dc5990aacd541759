#pragma once

#include <cstdint>
#include <optional>

namespace Bergamot {

/// What a job can still be worth to its caller if a waiting step of it starts now.
enum class Outlook : uint8_t {
    /// The job can end within its objective.
    InTime,
    /// The job can end while a late result is still of use.
    Late,
    /// The job will end too late to be of use.
    TooLate
};

/// A late result is of use until this many times the time that the objective allows.
inline constexpr int64_t lateObjectives = 3;

/// The latest useful starts of a step: those from which the longest chain of estimates that begins with the step still
/// ends in time. Answers a load beyond the capacity, such as that of a service that has lost half of its workers. The
/// order of earliest objectives would then serve only jobs that are late already, and every new job would wait until
/// it is late too.
class StepDeadlines {
public:
    /// The outlook of a step without deadlines never changes.
    static StepDeadlines none() { return StepDeadlines(neverMs, neverMs); }

    /// All times are Unix times in ms.
    static StepDeadlines create(int64_t acceptedAtMs, int64_t objectiveMs, int64_t chainMs);

    Outlook outlookAt(int64_t unixMs) const;

    /// The first time at which the step no longer has this outlook, if it changes.
    std::optional<int64_t> endOf(Outlook) const;

    bool operator==(const StepDeadlines&) const = default;

private:
    static constexpr int64_t neverMs = INT64_MAX;

    StepDeadlines(int64_t inTimeMs, int64_t lateMs)
        : m_inTimeMs(inTimeMs)
        , m_lateMs(lateMs)
    {
    }

    /// Latest starts with each outlook.
    int64_t m_inTimeMs;
    int64_t m_lateMs;
};

}
