#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// Replaces the lines between "<!-- begin NAME -->" and "<!-- end NAME -->". NotFound when a marker is missing,
/// InvalidArgument when one occurs twice or the end comes first.
absl::StatusOr<std::string> replaceMarkedBlock(const std::string& page, std::string_view name, std::string_view lines);

}
