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

/// The burn figures of one entry host, as they go to the host that answers the operator.
struct BurnSlice {
    MemberId member {};
    uint64_t configVersion { 0 }; ///< Version that the objectives come from.
    int64_t coverageMinutes { 0 }; ///< How far the data of this host reaches back, at most 28 days.
    std::vector<BurnObjective> objectives {};
    std::vector<BurnSeries> series {};
    std::vector<BurnTrend> trends {};

    bool operator==(const BurnSlice&) const = default;
};

/// JSON text. Bytes that are not UTF-8 are replaced by U+FFFD.
std::string encodeBurnSlice(const BurnSlice&);

/// Returns InvalidArgument for malformed text, impossible figures or more than maxBurnSliceBytes. Unknown members are
/// ignored, and absent ones have their defaults.
absl::StatusOr<BurnSlice> decodeBurnSlice(std::string_view);

inline constexpr size_t maxBurnSliceBytes = size_t { 4 } << 20;

}
