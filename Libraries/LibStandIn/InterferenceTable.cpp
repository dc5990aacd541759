#include <LibCore/Digest.h>
#include <LibStandIn/InterferenceTable.h>

namespace Bergamot {

static double toFraction(uint64_t bits)
{
    static constexpr int unusedBits = 11;
    static constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53, the precision of a double.
    return static_cast<double>(bits >> unusedBits) * scale;
}

double InterferenceTable::slowdown(std::string_view victim, std::string_view aggressor) const
{
    auto pair = mixDigest(digestOf(victim), digestOf(aggressor));
    auto value = toFraction(mixDigest(m_seed, pair));
    return maxSlowdown * value * value * value;
}

double InterferenceTable::fraction(std::string_view text) const
{
    return toFraction(mixDigest(m_seed, digestOf(text)));
}

}
