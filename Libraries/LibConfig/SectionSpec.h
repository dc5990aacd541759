#pragma once

#include <string_view>

namespace Bergamot {

/// One section of a configuration file.
struct SectionSpec {
    /// Name of the section; empty for the keys at the top level of the file.
    std::string_view name {};
    /// True for sections that contain one table per entry, such as `[services.token]`.
    bool hasEntries { false };
    std::string_view effect {};
};

}
