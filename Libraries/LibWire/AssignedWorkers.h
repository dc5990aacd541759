#pragma once

#include <LibWire/FirstReply.h>
#include <LibWire/WorkerIncarnation.h>
#include <msgpack.hpp>
#include <vector>

namespace Bergamot {

/// All workers to which any leader has assigned tasks and which may still run some. A leader stores a worker here
/// before it starts the first task on it, so that its successor knows which workers to query.
struct AssignedWorkers {
    std::vector<WorkerIncarnation> workers {};

    /// The workers that may hold a lease of the longest duration, because a misdirected call, which was meant for an
    /// earlier incarnation, may have reached them before the first call of the leader that stored this record.
    std::vector<WorkerIncarnation> withMisdirectedLeases {};

    /// First replies of workers in `withMisdirectedLeases`, as far as they are known. The worker refuses misdirected
    /// calls from then on, so such a lease has expired one longest lease after the next election. Empty in records of
    /// versions without this field.
    std::vector<FirstReply> firstReplies {};

    bool operator==(const AssignedWorkers&) const = default;
    MSGPACK_DEFINE_ARRAY(workers, withMisdirectedLeases, firstReplies)
};

}
