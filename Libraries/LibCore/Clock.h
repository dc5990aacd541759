#pragma once

#include <LibCore/Time.h>

namespace Bergamot {

/// Source of local monotonic time. Tests substitute a manual clock.
class Clock {
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
};

}
