#pragma once

#include <LibAdmin/AdminClient.h>
#include <LibAdmin/AdminClientOptions.h>
#include <LibCore/Clock.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <ostream>
#include <string>

namespace Bergamot {

/// The interfaces of commands to the operating system, the clock and the entry hosts. Tests replace them.
struct Environment {
    std::ostream& out;
    std::ostream& err;
    const Clock& clock;
    std::function<void(Milliseconds)> sleep;
    std::function<absl::StatusOr<std::string>(const std::string& path)> readFile;
    /// Returns the value of an environment variable; empty when it is not set.
    std::function<std::string(const std::string& name)> getVariable;
    std::function<std::unique_ptr<AdminClient>(AdminClientOptions)> makeClient;
    /// Returns a different text in each call, for idempotency keys.
    std::function<std::string()> generateUniqueId;
};

}
