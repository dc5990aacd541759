#pragma once

#include <LibAdmin/AdminReply.h>
#include <LibAdmin/AdminRequest.h>
#include <absl/status/statusor.h>
#include <vector>

namespace Bergamot {

/// Sends requests to the operators' interface of the entry hosts. Calls block.
class AdminApi {
public:
    virtual ~AdminApi() = default;

    /// Tries the entry hosts in turn until one answers. A host that answers 503 did not run the request, so the next
    /// one is tried, too. Fails with kUnavailable when no host answers, and with kDeadlineExceeded when a request that
    /// is not repeatable was sent and its answer was lost.
    virtual absl::StatusOr<AdminReply> send(const AdminRequest& request) = 0;

    /// Sends to every entry host; the list holds the answers of those that answered.
    virtual std::vector<AdminReply> sendToEach(const AdminRequest& request) = 0;
};

}
