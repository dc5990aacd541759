#pragma once

#include <LibCore/Ids.h>
#include <compare>
#include <string>

namespace Bergamot {

/// Key of a series of request counts. `zone` is the availability zone of the worker that replied.
struct BurnKey {
    std::string service {};
    ClientId client {};
    ZoneId zone {};

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 mistakes the zero of the defaulted comparison for a pointer.
    auto operator<=>(const BurnKey&) const = default;
};

}
