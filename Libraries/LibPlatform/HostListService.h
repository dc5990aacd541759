#pragma once

#include <LibCore/Service.h>
#include <LibPlatform/HostEntry.h>
#include <absl/status/statusor.h>
#include <functional>
#include <vector>

namespace Bergamot {

/// Lists the platform's workers. The list may be out of date. The callback runs exactly once, on a thread of the
/// implementation.
class HostListService : public Service {
public:
    using Callback = std::function<void(absl::StatusOr<std::vector<HostEntry>>)>;

    virtual void list(Callback) = 0;
};

}
