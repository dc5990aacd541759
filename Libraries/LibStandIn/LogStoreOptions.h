#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>

namespace Bergamot {

/// Limits of a LogStore. A limit of zero is not enforced.
struct LogStoreOptions {
    Milliseconds maxAge { 0 };
    size_t maxEntriesPerStream { 0 };
    uint32_t appendsPerSecond { 0 };

    /// Offset of the log's clock from the local time, in milliseconds.
    int64_t clockOffsetMs { 0 };
};

}
