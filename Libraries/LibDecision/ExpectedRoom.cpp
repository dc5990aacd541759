#include <LibDecision/ExpectedRoom.h>
#include <algorithm>

namespace Bergamot {

RoomForecast RoomForecast::create(Resources free, std::vector<ExpectedRelease> releases)
{
    std::ranges::sort(releases, {}, &ExpectedRelease::time);
    RoomForecast forecast;
    forecast.m_rooms.reserve(releases.size() + 1);
    forecast.m_rooms.push_back({ .free = free });
    for (const auto& release : releases) {
        free = free + release.size;
        forecast.m_rooms.push_back({ .time = release.time, .free = free });
    }
    return forecast;
}

std::optional<Milliseconds> RoomForecast::timeUntil(const Resources& size) const
{
    if (!size.fitsIn(m_rooms.back().free))
        return std::nullopt;
    auto fits = [&](const Room& room) { return size.fitsIn(room.free); };
    return std::ranges::find_if(m_rooms, fits)->time;
}

}
