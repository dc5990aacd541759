#include <LibCore/Verify.h>
#include <LibReport/BurnRing.h>
#include <algorithm>
#include <limits>

namespace Bergamot {

BurnRing::BurnRing(size_t size)
    : m_buckets(size)
{
    VERIFY(size > 0);
}

bool BurnRing::add(int64_t bucket, bool good)
{
    const auto size = static_cast<int64_t>(m_buckets.size());
    if (bucket < 0 || bucket <= m_newest - size)
        return false;
    for (auto i = std::max(m_newest + 1, bucket - size + 1); i <= bucket; ++i)
        m_buckets[static_cast<size_t>(i % size)] = {};
    m_newest = std::max(m_newest, bucket);
    auto& counts = m_buckets[static_cast<size_t>(bucket % size)];
    auto& count = good ? counts.good : counts.bad;
    if (count < std::numeric_limits<uint32_t>::max())
        ++count;
    return true;
}

BurnCounts BurnRing::sum(int64_t first, int64_t last) const
{
    const auto size = static_cast<int64_t>(m_buckets.size());
    BurnCounts total;
    for (auto i = std::max({ first, m_newest - size + 1, int64_t { 0 } }); i <= std::min(last, m_newest); ++i) {
        const auto& bucket = m_buckets[static_cast<size_t>(i % size)];
        total += { bucket.good, bucket.bad };
    }
    return total;
}

}
