#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>

namespace Bergamot {

/// Limits of a LogStore. Zero entries means no limit by count, zero appends a second means no limit of the rate.
struct LogStoreOptions {
    Milliseconds maxAge { 0 };
    size_t maxEntriesPerStream { 0 };
    uint32_t appendsPerSecond { 0 };

    /// Added to the local time to give the log's clock.
    int64_t clockOffsetMs { 0 };
};

}
