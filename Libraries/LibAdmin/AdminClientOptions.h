#pragma once

#include <functional>
#include <string>
#include <vector>

namespace Bergamot {

/// The addresses of the entry hosts and the bearer token of the operator.
struct AdminClientOptions {
    /// Admin addresses of the entry hosts as IP:port, in the order in which they are tried.
    std::vector<std::string> entries {};
    std::string token {};
    /// Called about once a second while a request is in progress, with the address of its entry host.
    std::function<void(const std::string& entry)> onWaiting {};
};

}
