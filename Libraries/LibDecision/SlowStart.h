#pragma once

#include <LibCore/Time.h>
#include <absl/status/statusor.h>
#include <cstdint>

namespace Bergamot {

/// Increases the weight of an upstream linearly after its return, so that it does not get the full load with cold
/// caches. Immutable.
class SlowStart {
public:
    struct Options {
        Milliseconds window { 10000 };
        /// Weight at the start of the window, in thousandths.
        int64_t initialWeightMillis { 100 };
    };

    static absl::StatusOr<SlowStart> create(Options);

    /// Weight in thousandths at time `age` after the return; 1000 after the window.
    int64_t weightMillis(Milliseconds age) const;

private:
    explicit SlowStart(Options options)
        : m_options(options)
    {
    }

    Options m_options;
};

}
