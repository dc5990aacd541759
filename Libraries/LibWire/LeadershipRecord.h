#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// Marks a record by which a node only says that it may be elected. Readers that do not know it take the record for a
/// keepalive of another epoch and ignore it.
inline constexpr uint64_t candidacyEpoch = std::numeric_limits<uint64_t>::max();

/// A record of the leadership stream. The epoch of a claim is its offset plus one, so epochs rise without being stored.
struct LeadershipRecord {
    MemberId member {};

    /// Drawn anew by each process, so that a process recognises its own claim after a lost answer.
    uint64_t incarnation { 0 };
    std::string peerAddress {};

    /// The epoch of the leader for a keepalive or a resignation; 0 for a claim; candidacyEpoch for a candidacy.
    uint64_t epoch { 0 };
    bool resigns { false };

    /// Processor time that the author has, in thousandths of a core, in claims and candidacies; 0 when it is not known.
    int64_t cpuMillis { 0 };

    bool operator==(const LeadershipRecord&) const = default;
    MSGPACK_DEFINE_ARRAY(member, incarnation, peerAddress, epoch, resigns, cpuMillis)
};

}
