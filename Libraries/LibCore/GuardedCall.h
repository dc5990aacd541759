#pragma once

#include <LibCore/Logger.h>
#include <exception>
#include <string_view>
#include <utility>

namespace Bergamot {

/// Calls `task`, for example one that processes a message from outside. An exception ends only this task and is logged
/// under `event`. Returns false after an exception.
template <typename Task> bool guardedCall(std::string_view event, Task&& task)
{
    try {
        std::forward<Task>(task)();
        return true;
    } catch (const std::exception& error) {
        logError(event, { { "error", error.what() } });
        return false;
    }
}

}
