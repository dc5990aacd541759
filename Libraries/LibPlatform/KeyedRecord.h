#pragma once

#include <LibCore/Ids.h>
#include <string>

namespace Bergamot {

/// A record of a stream. In a stream that is not keyed, the key is empty.
struct KeyedRecord {
    std::string key {};

    /// Empty in a keyed stream: the key is dropped.
    std::string value {};
    LogPosition offset { 0 };

    bool operator==(const KeyedRecord&) const = default;
};

}
