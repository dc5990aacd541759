#pragma once

#include <functional>

namespace Bergamot {

/// Runs a task on the control thread. Callbacks of the platform interfaces go through it, so that all scheduling
/// state has one owner. Tests pass an executor that runs the task at once.
using Executor = std::function<void(std::function<void()>)>;

}
