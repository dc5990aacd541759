#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Bergamot {

/// XXH3-64 hash of the bytes. The value is the same on every host and in every build.
uint64_t digestOf(std::string_view bytes);

/// XXH3-64 hash of the bytes as 16 lowercase hexadecimal digits.
std::string hexDigestOf(std::string_view bytes);

/// Hashes two values into one, for rendezvous hashing.
uint64_t mixDigest(uint64_t a, uint64_t b);

}
