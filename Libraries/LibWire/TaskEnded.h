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

    /// Tasks placed on the worker when its process ended and with it the attempt; 0 when the attempt ended otherwise.
    uint32_t crashedTasks { 0 };

    bool operator==(const TaskEnded&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, job, attempt, outcome, checkpoint, result, crashedTasks)
};

}
