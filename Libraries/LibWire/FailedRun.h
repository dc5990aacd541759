#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// A run that failed by itself; runs that were stopped or whose lease expired are not included. The run counts towards
/// `QueuePolicy::maxAttempts` of its task. For a gang, `index` is 0.
struct FailedRun {
    uint32_t occurrence { 0 };
    uint32_t step { 0 };
    uint32_t index { 0 };
    uint64_t run { 0 };

    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads a defaulted comparison.
    auto operator<=>(const FailedRun&) const = default;
    MSGPACK_DEFINE_ARRAY(occurrence, step, index, run)
};

}
