#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// A process that leads, has led or may lead. One process runs at an address at a time.
struct LeaderProcess {
    MemberId member {};
    uint64_t incarnation { 0 };
    std::string peerAddress {};

    /// Whether this process and the other one run on the same host, so that one of them has ended.
    bool isOtherProcessOfHostOf(const LeaderProcess& other) const
    {
        return member == other.member && peerAddress == other.peerAddress && incarnation != other.incarnation;
    }

    bool operator==(const LeaderProcess&) const = default;
};

}
