#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// Replaces the lines between the markers "<!-- begin NAME -->" and "<!-- end NAME -->". Returns NotFound when a marker
/// is missing and InvalidArgument when a marker occurs twice or the end marker precedes the begin marker.
absl::StatusOr<std::string> replaceMarkedBlock(const std::string& page, std::string_view name, std::string_view lines);

}
