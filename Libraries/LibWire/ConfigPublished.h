#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// A new version of the configuration. Valid only when `basedOn` is the version in force and `version` is its
/// successor.
struct ConfigPublished {
    uint64_t version { 0 };
    uint64_t basedOn { 0 };
    std::string author {};
    std::string body {};

    bool operator==(const ConfigPublished&) const = default;
    MSGPACK_DEFINE_ARRAY(version, basedOn, author, body)
};

}
