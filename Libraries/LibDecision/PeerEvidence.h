#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

namespace Bergamot {

/// What is known of a peer. `confirmedAt` is the local time at which the message was sent that the peer echoed, so
/// that a message delayed on the way does not look fresh.
struct PeerEvidence {
    uint64_t incarnation { 0 };
    Instant confirmedAt {};
    LogPosition position { 0 };
    bool leaving { false };

    bool operator==(const PeerEvidence&) const = default;
};

}
