#pragma once

#include <LibCapacity/LinearFit.h>
#include <string>
#include <vector>

namespace Bergamot {

/// A series of measured values, in `unit`, at several sizes that are numbers of `per`.
struct Measurement {
    std::string name {};
    std::string unit {};
    std::string per {};
    std::vector<SizedValue> points {};
};

}
