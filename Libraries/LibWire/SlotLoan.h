#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace Bergamot {

/// Lends slots of workers until `leaseMs` after receipt of the request that it answers.
struct SlotLoan {
    MemberId member {};
    uint64_t loan { 0 };
    std::vector<WorkerId> workers {};
    int64_t leaseMs { 0 };

    bool operator==(const SlotLoan&) const = default;
    MSGPACK_DEFINE_ARRAY(member, loan, workers, leaseMs)
};

}
