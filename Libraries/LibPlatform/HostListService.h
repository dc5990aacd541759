#pragma once

#include <LibCore/Service.h>
#include <LibPlatform/HostEntry.h>
#include <absl/status/statusor.h>
#include <vector>

namespace Bergamot {

/// The platform's lagging list of workers. The call blocks.
class HostListService : public Service {
public:
    virtual absl::StatusOr<std::vector<HostEntry>> list() = 0;
};

}
