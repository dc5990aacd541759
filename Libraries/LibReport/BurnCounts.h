#pragma once

#include <cstdint>

namespace Bergamot {

/// Numbers of requests that met the latency objective of their service (good) and that did not (bad).
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
