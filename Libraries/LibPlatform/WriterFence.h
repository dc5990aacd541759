#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

/// Identifies an append of a writer whose earlier holders are locked out by the epoch. Sequences rise by one.
struct WriterFence {
    std::string writer {};
    uint64_t epoch { 0 };
    uint64_t sequence { 0 };

    bool operator==(const WriterFence&) const = default;
};

}
