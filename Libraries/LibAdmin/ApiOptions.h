#pragma once

#include <functional>
#include <string>
#include <vector>

namespace Bergamot {

/// How the entry hosts are reached.
struct ApiOptions {
    /// Operators' addresses, IP:port, in the order in which they are tried.
    std::vector<std::string> entries {};
    std::string token {};
    /// Called about once a second while a request waits, with the address that it waits for.
    std::function<void(const std::string& entry)> onWait {};
};

}
