#pragma once

#include <functional>

namespace Bergamot {

/// Runs a function on the control thread. Callbacks of the platform interfaces are run through it, so that only the
/// control thread accesses scheduling state. Tests can pass an executor that runs the function immediately.
using Executor = std::function<void(std::function<void()>)>;

}
