#pragma once

#include <string>

namespace Bergamot {

/// The answer of an entry host.
struct AdminReply {
    int status { 0 };
    std::string body {};

    bool operator==(const AdminReply&) const = default;
};

}
