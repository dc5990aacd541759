#pragma once

#include <absl/status/status.h>
#include <string>

namespace Bergamot {

/// The message of a status as a std::string. Debian builds absl with a string_view type of its own, which
/// neither fmt nor std::string_view accept.
inline std::string statusText(const absl::Status& status)
{
    return std::string(status.message().data(), status.message().size());
}

}
