#pragma once

#include <LibReport/BurnCounts.h>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Bergamot {

/// Ring buffer of request counts for the last `size` time buckets of equal length, 8 bytes each. Buckets are numbered
/// from time zero of the local clock. Adding to a bucket newer than all previous ones clears the expired buckets that
/// it and the skipped buckets replace.
class BurnRing {
public:
    explicit BurnRing(size_t size);

    /// Counts one request. Returns false when the bucket is negative or expired. Counts saturate at 2^32 - 1.
    bool add(int64_t bucket, bool good);

    /// Returns the sum of the buckets in [first, last]. Buckets outside the ring count as empty.
    BurnCounts sum(int64_t first, int64_t last) const;

    /// Number of the newest bucket with data, or -1 without data.
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
