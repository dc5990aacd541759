#pragma once

#include <LibAdmin/ExitStatus.h>
#include <nlohmann/json.hpp>
#include <string>

namespace Bergamot {

/// Why an operation failed, and what the operator can do next.
struct AdminFailure {
    ExitStatus status { ExitStatus::Failed };
    /// The problem type without its prefix, such as `config-conflict`.
    std::string type {};
    std::string message {};
    std::string next {};
    /// The problem document of the daemon; empty when there is none.
    nlohmann::json problem = nlohmann::json::object();
};

}
