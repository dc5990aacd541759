#pragma once

#include <cstdint>

namespace Bergamot {

/// How an attempt ended, as the scheduling policy distinguishes it. `Refused` means that the worker surely never
/// started the attempt. `Lost` means that the worker or its lease was lost. `Stopped` ends a cancelled job.
enum class AttemptOutcome : uint8_t { Completed, Failed, Evicted, Lost, Refused, Stopped };

}
