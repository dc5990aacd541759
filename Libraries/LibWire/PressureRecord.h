#pragma once

#include <LibWire/BaseTailLatency.h>
#include <LibWire/PairPressure.h>
#include <absl/status/status.h>
#include <msgpack.hpp>
#include <vector>

namespace Bergamot {

/// Interference estimates of a leader, stored for its successor.
struct PressureRecord {
    std::vector<BaseTailLatency> baseTailLatencies {};
    std::vector<PairPressure> pairs {};

    /// Returns InvalidArgument for an estimate that is negative or not a finite number.
    absl::Status check() const;

    bool operator==(const PressureRecord&) const = default;
    MSGPACK_DEFINE_ARRAY(baseTailLatencies, pairs)
};

}
