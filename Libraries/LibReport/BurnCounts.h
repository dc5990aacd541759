#pragma once

#include <cstdint>

namespace Bergamot {

/// Requests that met their objective, and requests that did not.
struct BurnCounts {
    uint64_t good { 0 };
    uint64_t bad { 0 };

    bool operator==(const BurnCounts&) const = default;

    uint64_t total() const { return good + bad; }

    BurnCounts& operator+=(const BurnCounts& other)
    {
        good += other.good;
        bad += other.bad;
        return *this;
    }
};

}
