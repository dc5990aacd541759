#pragma once

#include <absl/status/status.h>
#include <fmt/format.h>
#include <nng/nng.h>
#include <string_view>

namespace Bergamot {

/// Converts an error of nng to Unavailable.
inline absl::Status nngStatus(int ec, std::string_view problem)
{
    return absl::UnavailableError(fmt::format("{}: {}", problem, nng_strerror(ec)));
}

}
