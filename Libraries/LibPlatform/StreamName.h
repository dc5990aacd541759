#pragma once

#include <cstdint>

namespace Bergamot {

/// The streams of the record store that nodes use.
enum class StreamName : uint8_t {
    /// What operators write: configuration and zones out of service. Keyed, read only.
    Operators,
    /// What workers say of themselves. Keyed, read only.
    Workers,
    /// Claims and keepalives of leaders. Not keyed.
    Leadership,
    /// Accepted jobs, written by all nodes. Keyed by job.
    Jobs,
    /// What the leader must remember about jobs and workers. Keyed.
    Progress
};

}
