#pragma once

#include <string>

namespace Bergamot {

/// A key whose value differs between two configurations. `before` and `after` are JSON text, or empty when that
/// configuration lacks the key.
struct ConfigChange {
    std::string key {};
    std::string before {};
    std::string after {};

    bool operator==(const ConfigChange&) const = default;
};

}
