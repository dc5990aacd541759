#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string_view>

namespace Bergamot {

/// Phase of a job in ClusterState. A job holds resources of a worker in `Placed` and `Revoking`.
enum class JobPhase : uint8_t { Pending, Placed, Revoking, Completed, Failed, Cancelled };

std::string_view toString(JobPhase);

}

MSGPACK_ADD_ENUM(Bergamot::JobPhase);
