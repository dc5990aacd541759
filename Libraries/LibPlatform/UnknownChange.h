#pragma once

namespace Bergamot {

/// An operator record that this version of the system does not interpret.
struct UnknownChange {
    bool operator==(const UnknownChange&) const = default;
};

}
