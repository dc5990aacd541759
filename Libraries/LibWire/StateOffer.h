#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// A snapshot of the sender's state, and the log position it was taken at.
struct StateOffer {
    MemberId member {};
    LogPosition position { 0 };
    std::string snapshot {};
    uint64_t configVersion { 0 };
    std::string configBody {};

    bool operator==(const StateOffer&) const = default;
    MSGPACK_DEFINE_ARRAY(member, position, snapshot, configVersion, configBody)
};

}
