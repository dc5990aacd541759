#include "SyntheticCluster.h"
#include <LibCore/Verify.h>
#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

static constexpr size_t recordsPerBatch = 256;

MemberId SyntheticCluster::memberId(size_t n) { return fmt::format("entry-{}", n); }
WorkerId SyntheticCluster::workerId(size_t n) { return fmt::format("worker-{:04}", n); }
JobId SyntheticCluster::jobId(size_t n) { return fmt::format("entry-1.{}.{}", incarnation, 100'000 + n); }

WorkerListed SyntheticCluster::worker(size_t n)
{
    return { .epoch = 1,
        .worker = workerId(n),
        .address = fmt::format("10.20.{}.{}:8080", n / 250, n % 250),
        .zone = fmt::format("zone-{}", n % 6),
        .rack = fmt::format("rack-{}", n / 8),
        .capacity = { 64'000, 250'000, n % 2 == 0 ? 2 : 0 } };
}

JobSubmitted SyntheticCluster::job(size_t n, bool isService)
{
    return { .job = jobId(n),
        .kind = isService ? fmt::format("service-{}", n % services) : fmt::format("batch-kind-{}", n % batchKinds),
        .team = isService ? "services" : fmt::format("team-{}", n % teams),
        .client = isService ? "" : fmt::format("client-{}", n % teams),
        .size = { 1'000, 2'000, 0 },
        .runMs = isService ? 0 : 200'000,
        .isService = isService,
        .requestKey = isService ? "" : fmt::format("0b6fcb33-9d1c-4e7a-a7d3-{:012}", n) };
}

RequestClaimed SyntheticCluster::claim(size_t n)
{
    return { .key = fmt::format("5d1f2c44-9d1c-4e7a-a7d3-{:012}", n), .digest = 0x9e3779b97f4a7c15 + n };
}

SyntheticCluster::SyntheticCluster(ClusterSize size)
    : m_size(size)
{
    for (size_t n = 1; n <= size.members; ++n) {
        auto address = fmt::format("10.20.9.{}:7000", n);
        m_batches.push_back({ memberId(n), incarnation, 1,
            { MemberJoined { memberId(n), incarnation, fmt::format("zone-{}", n % 6), address, address } } });
    }
    m_sequence = 1;
    appendRecord(LeaderClaimed { .epoch = 1 });
    for (size_t n = 0; n < size.workers; ++n)
        appendRecord(worker(n));
    auto running = size.tasks();
    for (size_t n = 0; n < running + size.pendingJobs + size.endedJobs; ++n) {
        appendRecord(job(n, n < size.serviceTasks));
        if (n >= running && n < running + size.pendingJobs)
            continue;
        appendRecord(TaskIntent { .epoch = 1, .job = jobId(n), .attempt = 1, .worker = workerId(n % size.workers) });
        if (n >= running)
            appendRecord(TaskEnded { .epoch = 1, .job = jobId(n), .attempt = 1, .outcome = TaskOutcome::Completed });
    }
    for (size_t n = 0; n < size.claims; ++n) {
        appendRecord(claim(n));
        appendRecord(RequestFinished { .key = claim(n).key, .status = 200, .body = std::string(64, 'r') });
    }
    if (!m_unbatchedRecords.empty())
        m_batches.push_back(leaderBatch(std::exchange(m_unbatchedRecords, {})));
}

void SyntheticCluster::appendRecord(Record record)
{
    m_unbatchedRecords.push_back(std::move(record));
    if (m_unbatchedRecords.size() == recordsPerBatch)
        m_batches.push_back(leaderBatch(std::exchange(m_unbatchedRecords, {})));
}

RecordBatch SyntheticCluster::leaderBatch(std::vector<Record> records)
{
    return { memberId(1), incarnation, ++m_sequence, std::move(records) };
}

ClusterState SyntheticCluster::state() const
{
    ClusterState state;
    for (const auto& batch : m_batches) {
        auto result = state.apply(batch, state.position(), logTimeMs);
        VERIFY(std::ranges::all_of(result.statuses, [](const auto& status) { return status.ok(); }));
    }
    return state;
}

}
