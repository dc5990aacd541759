#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

/// Fencing token of an append: the store rejects appends of `writer` with an epoch below its latest one.
/// Within an epoch, the sequence number increases by one with each append.
struct WriterFence {
    std::string writer {};
    uint64_t epoch { 0 };
    uint64_t sequence { 0 };

    bool operator==(const WriterFence&) const = default;
};

}
