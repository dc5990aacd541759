#include <LibNode/OutcomeNames.h>
#include <array>

namespace Bergamot {

std::string_view nameOf(RunOutcome outcome)
{
    constexpr std::array<std::string_view, 6> names { "done", "failed", "stopped", "lease_lapsed", "gang_broken",
        "gang_incomplete" };
    return names[static_cast<size_t>(outcome)];
}

std::string_view nameOf(TaskCommandOutcome outcome)
{
    constexpr std::array<std::string_view, 9> names { "accepted", "fenced", "superseded", "too_late", "no_room",
        "invalid", "unhealthy", "other_life", "not_sent" };
    return names[static_cast<size_t>(outcome)];
}

std::string_view nameOf(JobStage stage)
{
    constexpr std::array<std::string_view, 5> names { "queued", "running", "completed", "failed", "cancelled" };
    return names[static_cast<size_t>(stage)];
}

std::string_view nameOf(PlacementDelay delay)
{
    constexpr std::array<std::string_view, 9> names { "none", "earlier_leader", "headroom", "no_worker",
        "unconfirmed_leadership", "crash_suspicion", "unlisted_run", "gang_member", "outdated_configuration" };
    return names[static_cast<size_t>(delay)];
}

std::string_view nameOf(SuspectDelay delay)
{
    constexpr std::array<std::string_view, 6> names { "none", "records_not_stored", "awaiting_confirmation",
        "no_isolation_slot", "no_worker", "backoff" };
    return names[static_cast<size_t>(delay)];
}

std::string_view nameOf(StopReason reason)
{
    constexpr std::array<std::string_view, 9> names { "job_ended", "task_done", "gang_broken", "unwanted", "stalled",
        "worker_drains", "throttled", "slow", "start_withdrawn" };
    return names[static_cast<size_t>(reason)];
}

std::string_view nameOf(WorkerEnd end)
{
    constexpr std::array<std::string_view, 3> names { "crashed", "left", "lease_lapsed" };
    return names[static_cast<size_t>(end)];
}

}
