#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>

namespace Bergamot {

/// State that a peer last reported. `confirmedAt` is the local time at which this process sent the message that the
/// peer echoed, so that the delay of the reply makes the evidence older and not newer.
struct PeerEvidence {
    uint64_t incarnation { 0 };
    Instant confirmedAt {};
    LogPosition position { 0 };
    bool isLeaving { false };

    bool operator==(const PeerEvidence&) const = default;
};

}
