#pragma once

#include <LibAdmin/AdminApi.h>
#include <LibAdmin/ApiOptions.h>
#include <LibCore/Clock.h>
#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <ostream>
#include <string>

namespace Bergamot {

/// Everything that commands need from outside. Tests replace each part.
struct Environment {
    std::ostream& out;
    std::ostream& err;
    const Clock& clock;
    std::function<void(Milliseconds)> sleep;
    std::function<absl::StatusOr<std::string>(const std::string& path)> readFile;
    /// The value of an environment variable; empty when it is not set.
    std::function<std::string(const std::string& name)> variable;
    std::function<std::unique_ptr<AdminApi>(ApiOptions)> makeApi;
    /// A text that no other call has returned, for idempotency keys.
    std::function<std::string()> uniqueText;
};

}
