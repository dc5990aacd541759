#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Bergamot {

/// XXH3-64 of the bytes. The value is the same on every host and in every build.
uint64_t digestOf(std::string_view bytes);

/// XXH3-64 as 16 lowercase hexadecimal digits.
std::string hexDigestOf(std::string_view bytes);

/// Mixes two values into one hash; used for rendezvous hashing.
uint64_t mixDigest(uint64_t a, uint64_t b);

}
