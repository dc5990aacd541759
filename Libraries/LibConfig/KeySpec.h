#pragma once

#include <LibConfig/KeyType.h>
#include <string_view>
#include <vector>

namespace Bergamot {

/// One row of the key table: the valid values of a key and the effect of the key. The loaders validate files against
/// it, and docs/configuration.md contains it.
struct KeySpec {
    /// Name of the key's section; empty for keys at the top level of the file.
    std::string_view section {};
    std::string_view name {};
    KeyType type { KeyType::Integer };
    std::string_view unit {};
    /// The default as JSON text; empty when the key is required.
    std::string_view defaultJson {};
    /// Inclusive bounds of a number.
    double min { 0 };
    double max { 0 };
    std::vector<std::string_view> choices {};
    std::string_view effect {};

    bool isRequired() const { return defaultJson.empty(); }
};

}
