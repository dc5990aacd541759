#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Bergamot {

/// Encoded log entries from `position` on, which the sender has read and the receiver has not.
struct RecordRelay {
    MemberId member {};
    LogPosition position { 0 };
    std::vector<std::string> entries {};

    bool operator==(const RecordRelay&) const = default;
    MSGPACK_DEFINE_ARRAY(member, position, entries)
};

}
