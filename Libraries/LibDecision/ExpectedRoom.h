#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <optional>
#include <vector>

namespace Bergamot {

/// The resources of a run that is expected to end after `time`.
struct ExpectedRelease {
    Milliseconds time { 0 };
    Resources size {};

    bool operator==(const ExpectedRelease&) const = default;
};

/// The room that a worker is expected to have over time if nothing else starts there.
class RoomForecast {
public:
    static RoomForecast create(Resources free, std::vector<ExpectedRelease>);

    /// Returns when `size` is expected to fit, or nullopt if it does not fit even after all releases.
    std::optional<Milliseconds> timeUntil(const Resources& size) const;

private:
    struct Room {
        Milliseconds time { 0 };
        Resources free {};
    };

    /// Rising room by time, starting with the room that is free now.
    std::vector<Room> m_rooms {};
};

}
