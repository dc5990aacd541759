#pragma once

#include <compare>
#include <string>

namespace Bergamot {

/// A fault in a configuration file. `line` is 0 when the fault has no line of its own.
struct Finding {
    std::string file {};
    int line { 0 };
    std::string key {};
    std::string message {};

    bool operator==(const Finding&) const = default;
    // clang-tidy 14 reports the comparison with 0 in a defaulted operator as a null pointer constant.
    auto operator<=>(const Finding&) const = default; // NOLINT(modernize-use-nullptr)
};

}
