#pragma once

#include <LibCore/Time.h>
#include <absl/status/statusor.h>
#include <cstdint>

namespace Bergamot {

/// Raises the weight of an upstream that returns, so that cold caches do not meet full load. Immutable.
class SlowStart {
public:
    struct Options {
        Milliseconds window { 10000 };
        /// Weight at the start, in thousandths.
        int64_t initialMillis { 100 };
    };

    static absl::StatusOr<SlowStart> create(Options);

    /// Weight in thousandths `age` after the return; 1000 from the end of the window on.
    int64_t weightMillis(Milliseconds age) const;

private:
    explicit SlowStart(Options options)
        : m_options(options)
    {
    }

    Options m_options;
};

}
