#pragma once

#include <LibAdmin/ExitStatus.h>
#include <nlohmann/json.hpp>
#include <string>

namespace Bergamot {

/// A failed operation: its exit status, the error, and the action that is suggested to the operator.
struct AdminFailure {
    ExitStatus status { ExitStatus::Failed };
    /// The type of the problem document without its prefix, such as `config-conflict`.
    std::string type {};
    std::string message {};
    /// The suggested action.
    std::string next {};
    /// The problem document in the reply of the daemon; an empty object when the reply has none.
    nlohmann::json problem = nlohmann::json::object();
};

}
