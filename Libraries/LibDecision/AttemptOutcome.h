#pragma once

#include <cstdint>

namespace Bergamot {

/// How an attempt of a job ended, as far as the scheduling policy distinguishes it. `Refused` means that the worker
/// provably never started the attempt. `Lost` means that the worker or its lease was lost. `Stopped` means that the
/// worker stopped the attempt on request without a checkpoint; the job runs again unless it was cancelled. `Crashed`
/// means that the process of the worker ended, with the attempt as its only task, and `CrashedInCompany` with other
/// tasks.
enum class AttemptOutcome : uint8_t { Completed, Failed, Evicted, Lost, Refused, Stopped, Crashed, CrashedInCompany };

}
