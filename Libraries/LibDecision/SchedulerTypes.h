#pragma once

#include <cstdint>
#include <limits>

namespace Bergamot {

/// Dense indexes of interned ids. Ids are strings only in the interface of the library.
using KindIndex = uint16_t;
using TeamIndex = uint16_t;
using ZoneIndex = uint16_t;
using RackIndex = uint16_t;
using WorkerIndex = uint32_t;
using JobIndex = uint32_t;

inline constexpr uint32_t noIndex = std::numeric_limits<uint32_t>::max();

/// Processor usage of the tasks of one kind on a host, as a share of the host's processors.
struct Neighbour {
    KindIndex kind { 0 };
    float share { 0 };

    bool operator==(const Neighbour&) const = default;
};

}
