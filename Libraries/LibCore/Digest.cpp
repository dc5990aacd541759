#include <LibCore/Digest.h>
#include <fmt/format.h>
#include <xxhash.h>

namespace Bergamot {

uint64_t digestOf(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

std::string hexDigestOf(std::string_view bytes) { return fmt::format("{:016x}", digestOf(bytes)); }

uint64_t mixDigest(uint64_t a, uint64_t b)
{
    const uint64_t pair[2] = { a, b };
    return XXH3_64bits(pair, sizeof(pair));
}

}
