#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// The caller or an operator cancelled the job.
struct JobCancelled {
    JobId job {};

    bool operator==(const JobCancelled&) const = default;
    MSGPACK_DEFINE_ARRAY(job)
};

}
