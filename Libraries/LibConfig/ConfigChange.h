#pragma once

#include <string>

namespace Bergamot {

/// A key whose value differs between two configurations. Values are JSON text; empty when the key is absent.
struct ConfigChange {
    std::string key {};
    std::string before {};
    std::string after {};

    bool operator==(const ConfigChange&) const = default;
};

}
