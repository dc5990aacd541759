#pragma once

#include <LibCore/Logger.h>
#include <exception>
#include <string_view>
#include <utility>

namespace Bergamot {

/// Calls `task`, which processes one message from outside. An exception ends this message and is logged under `event`;
/// the process and the later messages go on.
template <typename Task> void guardedCall(std::string_view event, Task&& task)
{
    try {
        std::forward<Task>(task)();
    } catch (const std::exception& error) {
        logError(event, { { "error", error.what() } });
    }
}

}
