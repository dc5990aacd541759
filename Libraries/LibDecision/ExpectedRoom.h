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

/// Returns when `size` is expected to fit if nothing else starts, or nullopt if it does not fit even after all
/// releases.
std::optional<Milliseconds> timeUntilRoom(const Resources& size, Resources free, std::vector<ExpectedRelease>);

}
