#pragma once

#include <LibState/ClusterState.h>
#include <LibWire/RecordBatch.h>
#include <cstddef>
#include <string>
#include <vector>

namespace Bergamot {

/// Sizes of a synthetic region. The defaults are those of the design size.
struct ClusterSize {
    size_t workers { 720 };
    size_t serviceTasks { 4'700 };
    size_t batchTasks { 15'000 };
    size_t pendingJobs { 0 };
    size_t endedJobs { 0 };
    size_t claims { 0 };
    size_t members { 9 };

    /// The design size divided by `n`.
    static ClusterSize scaledDesign(size_t n) { return { 720 / n, 4'700 / n, 15'000 / n }; }
    size_t tasks() const { return serviceTasks + batchTasks; }
};

/// Log records that build a synthetic region of a given size, with ids as long as those of a real region.
class SyntheticCluster {
public:
    explicit SyntheticCluster(ClusterSize);

    const std::vector<RecordBatch>& batches() const { return m_batches; }
    ClusterState state() const;

    /// Creates the leader's next batch with these records.
    RecordBatch leaderBatch(std::vector<Record>);

    static MemberId memberId(size_t n);
    static WorkerId workerId(size_t n);
    static JobId jobId(size_t n);
    static WorkerListed worker(size_t n);
    static JobSubmitted job(size_t n, bool isService);
    static RequestClaimed claim(size_t n);

    static constexpr uint64_t incarnation = 1'764'800'000'000;
    static constexpr int64_t logTimeMs = 1'764'800'100'000;
    static constexpr size_t teams = 37;
    static constexpr size_t services = 12;
    static constexpr size_t batchKinds = 24;

private:
    void appendRecord(Record);

    ClusterSize m_size;
    std::vector<RecordBatch> m_batches;
    std::vector<Record> m_unbatchedRecords;
    uint64_t m_sequence { 0 };
};

}
