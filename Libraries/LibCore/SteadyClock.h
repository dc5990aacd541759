#pragma once

#include <LibCore/Clock.h>

namespace Bergamot {

/// Reads CLOCK_BOOTTIME, so that time spent suspended counts against leases and evidence.
class SteadyClock final : public Clock {
public:
    Instant now() const override;
};

}
