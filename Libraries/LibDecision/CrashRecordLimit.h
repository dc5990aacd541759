#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace Bergamot {

class CrashHistory;
struct ReadyStep;

/// Bounds the crash records of a job, which are part of its progress: the store refuses a record beyond its limit for
/// good, and then nothing more is known of the job. A task that has records may still start, because only a run can
/// clear them; so there are at most twice as many.
class CrashRecordLimit {
public:
    static constexpr size_t maxRecordsOfJob = 1000;

    /// Whether no further crash is recorded for tasks without records.
    static bool isReached(const CrashHistory&);

    explicit CrashRecordLimit(const ReadyStep&);

    /// Whether the task has to wait, because its first start needs a record and there is no room for it.
    bool holdsBack(uint32_t index);

private:
    std::set<uint32_t> tasksWithRecords() const;

    const ReadyStep& m_ready;

    /// Not set before it is needed.
    std::optional<std::set<uint32_t>> m_tasksWithRecords {};
};

}
