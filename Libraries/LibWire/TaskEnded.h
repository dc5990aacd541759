#pragma once

#include <LibCore/Ids.h>
#include <LibWire/TaskOutcome.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// An attempt has ended and holds no resources any more. `Lost` is valid only from the current leader.
struct TaskEnded {
    uint64_t epoch { 0 };
    JobId job {};
    uint32_t attempt { 0 };
    TaskOutcome outcome { TaskOutcome::Completed };
    std::string checkpoint {};
    std::string result {};

    bool operator==(const TaskEnded&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, job, attempt, outcome, checkpoint, result)
};

}
