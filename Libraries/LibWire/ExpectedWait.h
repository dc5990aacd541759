#pragma once

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

/// Limits of the expected waits in one record, so that a keepalive stays small.
inline constexpr size_t maxExpectedWaits = 32;
inline constexpr size_t maxExpectedWaitNameLength = 128;
inline constexpr int64_t maxExpectedWaitMs = int64_t { 600 } * 1000;

/// How long a best-effort task of a new job is expected to wait for its first run, for a service and an image whose
/// tasks wait now.
struct ExpectedWait {
    std::string service {};
    std::string image {};
    int64_t waitMs { 0 };

    bool operator==(const ExpectedWait&) const = default;
    MSGPACK_DEFINE_ARRAY(service, image, waitMs)
};

}
