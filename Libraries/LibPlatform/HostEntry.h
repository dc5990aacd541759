#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <string>

namespace Bergamot {

/// A worker in the platform's host list, which may be out of date.
struct HostEntry {
    WorkerId id {};
    std::string address {};
    ZoneId zone {};
    std::string rack {};
    Resources capacity {};
    bool leaving { false };

    bool operator==(const HostEntry&) const = default;
};

}
