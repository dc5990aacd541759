#include <LibDecision/ExpectedRoom.h>
#include <algorithm>

namespace Bergamot {

std::optional<Milliseconds> timeUntilRoom(const Resources& size, Resources free, std::vector<ExpectedRelease> releases)
{
    Milliseconds time { 0 };
    std::ranges::sort(releases, {}, &ExpectedRelease::time);
    auto next = releases.begin();
    while (!size.fitsIn(free)) {
        if (next == releases.end())
            return std::nullopt;
        time = next->time;
        free = free + next->size;
        ++next;
    }
    return time;
}

}
