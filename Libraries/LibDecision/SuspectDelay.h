#pragma once

#include <cstdint>

namespace Bergamot {

/// Why a task under which workers crashed has not started.
enum class SuspectDelay : uint8_t {
    None,
    /// The records of its crashes, or of its next start, are not stored yet.
    RecordsNotStored,
    /// It is not known yet whether a worker has crashed under it.
    AwaitingConfirmation,
    /// As many isolated runs as allowed are active.
    NoIsolationSlot,
    /// No worker with free resources could run it isolated, or it is the turn of other tasks to search for one.
    NoWorker,
    /// Workers crash for other causes, so that a crash under it would prove nothing; its restart back-off has not
    /// passed.
    Backoff
};

}
