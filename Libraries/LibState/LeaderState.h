#pragma once

#include <LibCore/Ids.h>
#include <msgpack.hpp>

namespace Bergamot {

/// The leader of the current epoch. `lastRecordAtMs` is the log time of its last record that carries this epoch.
struct LeaderState {
    uint64_t epoch { 0 };
    MemberId member {};
    uint64_t incarnation { 0 };
    int64_t lastRecordAtMs { 0 };

    bool operator==(const LeaderState&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, member, incarnation, lastRecordAtMs)
};

}
