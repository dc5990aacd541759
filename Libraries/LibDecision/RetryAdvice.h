#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// Tells callers when to come back after a refusal. Answers outages of a dependency: callers repeat a few times only,
/// so the advice grows with the outage, and callers of the same moment are spread over two seconds.
class RetryAdvice {
public:
    /// Whole seconds, as the header carries them. `callerHash` spreads callers.
    static uint32_t seconds(Milliseconds outage, uint64_t callerHash);
};

}
