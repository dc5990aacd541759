#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Bergamot {

/// Records that the sender has read and the receiver has not: raw log entries from `position` on.
struct RecordRelay {
    MemberId member {};
    LogPosition position { 0 };
    std::vector<std::string> entries {};

    bool operator==(const RecordRelay&) const = default;
    MSGPACK_DEFINE_ARRAY(member, position, entries)
};

}
