#pragma once

#include <LibCore/Ids.h>
#include <LibPlatform/KeyedRecord.h>
#include <cstdint>

namespace Bergamot {

/// The records that nodes store for a job, for jobs numbered from 0. The ids depend on the seed only.
class JobRecords {
public:
    explicit JobRecords(uint64_t seed)
        : m_seed(seed)
    {
    }

    /// The record of the job stream for a job of several dependent steps.
    KeyedRecord endedJob(uint64_t n) const;

    /// The record of the progress stream after the job has ended.
    KeyedRecord end(uint64_t n) const;

    /// The record of the job stream for a job of one task, which outlasts a recovery.
    KeyedRecord liveJob(uint64_t n) const;

private:
    JobId idOf(uint64_t n) const;

    uint64_t m_seed { 0 };
};

}
