#pragma once

#include <cstdint>

namespace Bergamot {

/// The streams of the record store that nodes use.
enum class StreamName : uint8_t {
    /// Written by operators: the configuration and the zones that are out of service. Keyed; read-only for nodes.
    Operators,
    /// Announcements written by workers. Keyed; read-only for nodes.
    Workers,
    /// Leadership claims and keepalives of leaders. Not keyed.
    Leadership,
    /// Accepted jobs, written by all nodes. Keyed by job.
    Jobs,
    /// State of jobs and workers that the leader persists. Keyed.
    Progress
};

}
