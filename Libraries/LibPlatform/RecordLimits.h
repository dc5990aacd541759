#pragma once

#include <LibPlatform/KeyedRecord.h>
#include <cstddef>

namespace Bergamot {

/// Maximum size of the records of one append, in bytes: half of what the stores accept in one call. They refuse a
/// larger call each time that it is repeated.
inline constexpr size_t maxAppendBytes = size_t { 1 } << 20;

/// Maximum size of one record in bytes, where the platform does not state it.
inline constexpr size_t defaultMaxRecordBytes = size_t { 256 } << 10;

/// Size of the record that counts towards the maximum: key, value and the length of the key.
inline size_t contentSizeOf(const KeyedRecord& record) { return 1 + record.key.size() + record.value.size(); }

/// Size of the record in an append, with its length fields.
inline size_t encodedSizeOf(const KeyedRecord& record)
{
    constexpr size_t lengthFields = 5;
    return lengthFields + record.key.size() + record.value.size();
}

}
