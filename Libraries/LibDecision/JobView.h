#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Bergamot {

/// A job to be placed. `size` and `runMs` are declared by the caller and often differ widely from the actual values.
/// `runMs` is 0 if unknown and is ignored for services, which run until they are cancelled.
struct JobView {
    JobId id {};
    std::string kind {};
    std::string team {};
    Resources size {};
    int64_t runMs { 0 };
    int32_t priority { 0 };
    bool urgent { false };
    std::optional<Instant> deadline {};
    bool isService { false };

    /// Earlier attempts that ended with the process of their worker, and those of them that ran there alone.
    uint32_t crashes { 0 };
    uint32_t crashesAlone { 0 };

    bool operator==(const JobView&) const = default;
};

}
