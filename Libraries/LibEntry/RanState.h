#pragma once

#include <cstdint>
#include <string_view>

namespace Bergamot {

/// Whether a request ran, as reported to its caller. `Unknown` means that it may have run and is never reported as
/// `No`.
enum class RanState : uint8_t { No, Yes, Unknown };

constexpr std::string_view toString(RanState ran)
{
    switch (ran) {
    case RanState::No:
        return "no";
    case RanState::Yes:
        return "yes";
    case RanState::Unknown:
        return "unknown";
    }
    return "unknown";
}

}
