#pragma once

#include <absl/status/status.h>
#include <string>

namespace Bergamot {

/// The message of a status as a std::string. The absl packages of Debian have their own string_view type, which
/// converts neither to std::string_view nor to an fmt argument.
inline std::string statusText(const absl::Status& status)
{
    return std::string(status.message().data(), status.message().size());
}

}
