#pragma once

#include <LibCore/Ids.h>
#include <LibWire/Record.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// The unit of one append. (member, incarnation, sequence) identifies it, so that a repeated append is recognised.
struct RecordBatch {
    MemberId member {};
    uint64_t incarnation { 0 };
    uint64_t sequence { 0 };
    std::vector<Record> records {};

    bool operator==(const RecordBatch&) const = default;
};

}
