#pragma once

#include <LibCore/Ids.h>
#include <LibReport/BurnObjective.h>
#include <LibReport/BurnSeries.h>
#include <LibReport/BurnTrend.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Request counts of one entry host, as sent to the entry host that merges the report for the operator.
struct BurnSlice {
    MemberId member {};
    uint64_t configVersion { 0 }; ///< Configuration version of the objectives.
    int64_t coverageMinutes { 0 }; ///< Age of the oldest data of this host, at most 28 days.
    std::vector<BurnObjective> objectives {};
    std::vector<BurnSeries> series {};
    std::vector<BurnTrend> trends {};

    bool operator==(const BurnSlice&) const = default;
};

/// Encodes the slice as JSON. Invalid UTF-8 bytes are replaced by U+FFFD.
std::string encodeBurnSlice(const BurnSlice&);

/// Returns InvalidArgument for malformed JSON, values out of range or text longer than maxBurnSliceBytes. Unknown JSON
/// members are ignored, and absent ones take their defaults.
absl::StatusOr<BurnSlice> decodeBurnSlice(std::string_view);

inline constexpr size_t maxBurnSliceBytes = size_t { 4 } << 20;

}
