#pragma once

#include <string>

namespace Bergamot {

/// The HTTP status and the body of a reply of an entry host.
struct AdminReply {
    int status { 0 };
    std::string body {};

    bool operator==(const AdminReply&) const = default;
};

}
