#pragma once

#include <LibCore/Ids.h>
#include <LibWire/ResourcesCodec.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// A job accepted from a caller. A second record with the same job id is ignored.
struct JobSubmitted {
    JobId job {};
    std::string kind {};
    std::string team {};
    ClientId client {};
    Resources size {};
    int64_t runMs { 0 };
    int32_t priority { 0 };
    bool urgent { false };
    bool isService { false };
    std::string requestKey {};
    int64_t deadlineMs { 0 };

    bool operator==(const JobSubmitted&) const = default;
    MSGPACK_DEFINE_ARRAY(job, kind, team, client, size, runMs, priority, urgent, isService, requestKey, deadlineMs)
};

}
