#pragma once

#include <LibWire/UnansweredStart.h>
#include <msgpack.hpp>
#include <vector>

namespace Bergamot {

/// The starts without a reply of the leader that stored them, and of its predecessors, that a worker may still execute.
/// A successor holds back exactly their tasks for as long as it does not reach a later incarnation of the worker.
struct UnansweredStarts {
    std::vector<UnansweredStart> starts {};

    bool operator==(const UnansweredStarts&) const = default;
    MSGPACK_DEFINE_ARRAY(starts)
};

}
