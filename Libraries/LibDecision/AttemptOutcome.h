#pragma once

#include <cstdint>

namespace Bergamot {

/// How an attempt ended, as the scheduling policy distinguishes it. `Refused` means that the worker surely never
/// started the attempt. `Lost` means that the worker or its lease was lost. `Stopped` means that
/// the worker stopped it on request without a checkpoint; the job runs again unless it was cancelled.
enum class AttemptOutcome : uint8_t { Completed, Failed, Evicted, Lost, Refused, Stopped };

}
