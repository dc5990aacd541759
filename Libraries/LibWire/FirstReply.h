#pragma once

#include <LibWire/WorkerIncarnation.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// An incarnation of a worker whose first reply to a leader came under the leader of `epoch`, before the next election.
struct FirstReply {
    WorkerIncarnation worker {};
    uint64_t epoch { 0 };

    bool operator==(const FirstReply&) const = default;
    MSGPACK_DEFINE_ARRAY(worker, epoch)
};

}
