#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// The candidate with the fewest edits from `name`; empty when none is near. A candidate that differs only in its unit
/// suffix (`timeout_s` for `timeout_ms`) is always near.
std::string nearestName(std::string_view name, const std::vector<std::string>& candidates);

/// `; did you mean "x"?`, or the known names when none is near and there are few of them.
std::string suggestion(std::string_view name, const std::vector<std::string>& candidates);

}
