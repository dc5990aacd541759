#pragma once

#include <LibWire/WorkerListed.h>
#include <set>

namespace Bergamot {

/// A worker, what operators and the leader said about it, and what is committed on it.
struct WorkerInfo {
    WorkerListed spec {};
    bool quarantined { false };
    bool draining { false };
    Resources committed {};
    std::set<JobId> jobs {};

    bool operator==(const WorkerInfo&) const = default;
    MSGPACK_DEFINE_ARRAY(spec, quarantined, draining, committed, jobs)
};

}
