#pragma once

#include <LibWire/JobSpec.h>
#include <cstdint>

namespace Bergamot {

/// Returns the length of the critical path of the job: the largest sum of estimates along dependencies.
int64_t criticalPathMs(const JobSpec&);

}
