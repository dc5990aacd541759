#pragma once

#include <LibReport/BurnCounts.h>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// Counts of the last `size` buckets of equal length, 8 bytes each. Buckets are numbered from time zero of the local
/// clock; a bucket that is newer than all before it clears those that it replaces.
class BurnRing {
public:
    explicit BurnRing(size_t size);

    /// Returns false when the bucket is negative or already left the ring. A count stops at 2^32 - 1.
    bool add(int64_t bucket, bool good);

    /// Sum of the buckets in [first, last]; buckets outside the ring count as empty.
    BurnCounts sum(int64_t first, int64_t last) const;

    /// Newest bucket with data, or -1.
    int64_t newest() const { return m_newest; }

private:
    struct Bucket {
        uint32_t good { 0 };
        uint32_t bad { 0 };
    };

    std::vector<Bucket> m_buckets;
    int64_t m_newest { -1 };
};

}
