#pragma once

namespace Bergamot {

/// A record without a meaning for this version of the system.
struct UnknownChange {
    bool operator==(const UnknownChange&) const = default;
};

}
