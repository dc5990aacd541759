#pragma once

#include <LibCapacity/LinearFit.h>
#include <string>
#include <vector>

namespace Bergamot {

/// A series of values, measured in `unit`, over sizes that are counted in `per`.
struct Measurement {
    std::string name {};
    std::string unit {};
    std::string per {};
    std::vector<SizedValue> points {};
};

}
