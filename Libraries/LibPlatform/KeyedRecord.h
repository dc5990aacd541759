#pragma once

#include <LibCore/Ids.h>
#include <string>

namespace Bergamot {

/// A record of a stream. In a stream that is not keyed, the key is empty.
struct KeyedRecord {
    std::string key {};

    /// In a keyed stream, an empty value deletes the key.
    std::string value {};
    LogPosition offset { 0 };

    bool operator==(const KeyedRecord&) const = default;
};

}
