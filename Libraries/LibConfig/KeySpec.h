#pragma once

#include <LibConfig/KeyType.h>
#include <string_view>
#include <vector>

namespace Bergamot {

/// One row of the key table: what a key may hold and what it does. The loaders and docs/configuration.md follow it.
struct KeySpec {
    /// The section that the key belongs to; empty for keys at the top of the file.
    std::string_view section {};
    std::string_view name {};
    KeyType type { KeyType::Integer };
    std::string_view unit {};
    /// The default as JSON text; empty when the key is required.
    std::string_view defaultJson {};
    /// Smallest and largest value of a number.
    double min { 0 };
    double max { 0 };
    std::vector<std::string_view> choices {};
    std::string_view effect {};

    bool isRequired() const { return defaultJson.empty(); }
};

}
