#pragma once

#include <LibAdmin/AdminReply.h>
#include <LibAdmin/AdminRequest.h>
#include <absl/status/statusor.h>
#include <vector>

namespace Bergamot {

/// Sends requests to the admin API of the entry hosts. Calls block.
class AdminClient {
public:
    virtual ~AdminClient() = default;

    /// Tries the entry hosts in turn until one replies. A host that replies with 503 did not execute the request, so
    /// the next host is tried as well. Fails with kUnavailable when no host replies, and with kDeadlineExceeded when a
    /// request that is not retryable was sent and its reply was lost.
    virtual absl::StatusOr<AdminReply> send(const AdminRequest& request) = 0;

    /// Sends the request to every entry host. Returns the replies of the hosts that replied.
    virtual std::vector<AdminReply> sendToAll(const AdminRequest& request) = 0;
};

}
