#pragma once

#include <LibCore/Clock.h>

namespace Bergamot {

/// Reads CLOCK_BOOTTIME, which advances while the host is suspended, so that leases expire and observations age during
/// that time.
class SteadyClock final : public Clock {
public:
    Instant now() const override;
};

}
