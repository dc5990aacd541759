#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Returns the candidate with the smallest edit distance to `name`, or an empty string when every distance exceeds both
/// 2 and a third of the length of `name`. A candidate that differs from `name` only in its unit suffix (`timeout_s` for
/// `timeout_ms`) is returned whatever the distance.
std::string nearestName(std::string_view name, const std::vector<std::string>& candidates);

/// Returns `; did you mean "x"?`, or a list of all candidates when nearestName() finds none and there are at most 8.
std::string suggestion(std::string_view name, const std::vector<std::string>& candidates);

}
