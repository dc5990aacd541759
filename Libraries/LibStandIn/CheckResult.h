#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// The result of one check. A check with `examined == 0` is inconclusive even when it has no violations.
struct CheckResult {
    std::string promise {};
    int64_t examined { 0 };
    std::vector<std::string> violations {};
};

}
