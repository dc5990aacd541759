#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// The result of one check. A check that examined nothing has shown nothing.
struct CheckResult {
    std::string promise {};
    int64_t examined { 0 };
    std::vector<std::string> violations {};
};

}
