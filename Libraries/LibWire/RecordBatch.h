#pragma once

#include <LibCore/Ids.h>
#include <LibWire/Record.h>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// The records of one append to the log. (member, incarnation, sequence) identifies the batch, so that a retried append
/// is recognised as a duplicate.
struct RecordBatch {
    MemberId member {};
    uint64_t incarnation { 0 };
    uint64_t sequence { 0 };
    std::vector<Record> records {};

    bool operator==(const RecordBatch&) const = default;
};

}
