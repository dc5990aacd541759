#pragma once

#include <compare>
#include <string>

namespace Bergamot {

/// A fault in a configuration file. `line` is 0 when the fault belongs to no single line.
struct Finding {
    std::string file {};
    int line { 0 };
    std::string key {};
    std::string message {};

    bool operator==(const Finding&) const = default;
    // clang-tidy 14 takes the comparison with 0 behind a defaulted operator for a null pointer.
    auto operator<=>(const Finding&) const = default; // NOLINT(modernize-use-nullptr)
};

}
