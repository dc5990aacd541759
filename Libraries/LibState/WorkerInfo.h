#pragma once

#include <LibWire/WorkerListed.h>
#include <set>

namespace Bergamot {

/// A worker, its quarantine and drain status, the resources committed on it and the jobs that hold them.
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
