#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// The configuration that the sender has in force, for a peer that is behind and cannot read the log.
struct ConfigOffer {
    MemberId member {};
    uint64_t version { 0 };
    std::string body {};

    bool operator==(const ConfigOffer&) const = default;
    MSGPACK_DEFINE_ARRAY(member, version, body)
};

}
