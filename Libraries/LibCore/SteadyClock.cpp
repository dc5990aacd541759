#include <LibCore/SteadyClock.h>
#include <ctime>

namespace Bergamot {

Instant SteadyClock::now() const
{
    timespec ts {};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return Instant { Milliseconds { ts.tv_sec * 1000 + ts.tv_nsec / 1'000'000 } };
}

}
