#pragma once

#include <LibCore/Ids.h>
#include <compare>
#include <string>

namespace Bergamot {

/// What the counts of the burn report are kept by. `zone` is the availability zone of the worker that answered.
struct BurnKey {
    std::string service {};
    ClientId client {};
    ZoneId zone {};

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 mistakes the zero of the defaulted comparison for a pointer.
    auto operator<=>(const BurnKey&) const = default;
};

}
