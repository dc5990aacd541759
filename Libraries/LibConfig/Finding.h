#pragma once

#include <string>

namespace Bergamot {

/// A fault in a configuration file. `line` is 0 when the fault belongs to no single line.
struct Finding {
    std::string file {};
    int line { 0 };
    std::string key {};
    std::string message {};

    bool operator==(const Finding&) const = default;
    auto operator<=>(const Finding&) const = default;
};

}
