#pragma once

#include <LibCore/Ids.h>
#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// One incarnation of a worker. `startedAtMs` distinguishes a restarted worker from its earlier incarnations.
struct WorkerIncarnation {
    WorkerId id {};
    std::string address {};
    int64_t startedAtMs { 0 };

    auto operator<=>(const WorkerIncarnation&) const = default; // NOLINT(modernize-use-nullptr)
    MSGPACK_DEFINE_ARRAY(id, address, startedAtMs)
};

}
