#pragma once

#include <string_view>

namespace Bergamot {

/// One section of a configuration file.
struct SectionSpec {
    /// Empty for the keys at the top of the file.
    std::string_view name {};
    /// True for sections that hold one table for each name, such as `[services.token]`.
    bool hasEntries { false };
    std::string_view effect {};
};

}
