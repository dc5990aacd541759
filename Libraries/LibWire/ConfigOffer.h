#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// The configuration in force at the sender, sent to a peer that has an older version and cannot read the log.
struct ConfigOffer {
    MemberId member {};
    uint64_t version { 0 };
    std::string body {};

    bool operator==(const ConfigOffer&) const = default;
    MSGPACK_DEFINE_ARRAY(member, version, body)
};

}
