#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// The leader marks a pending job that can never run as failed. Valid only from the current leader.
struct JobFailed {
    uint64_t epoch { 0 };
    JobId job {};
    std::string reason {};

    bool operator==(const JobFailed&) const = default;
    MSGPACK_DEFINE_ARRAY(epoch, job, reason)
};

}
