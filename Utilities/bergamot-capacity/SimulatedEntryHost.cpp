#include "SimulatedEntryHost.h"
#include <LibCore/Verify.h>
#include <LibWire/Codec.h>

namespace Bergamot {

static constexpr Milliseconds daemonTickInterval { 20 };

static void runInline(const std::function<void()>& task) { task(); }

void SimulatedEntryHost::InMemoryLog::read(
    const std::string& stream, LogPosition from, Milliseconds, Callback<LogChunk> callback)
{
    LogChunk chunk;
    if (stream == "region") {
        chunk.head = entries.size();
        chunk.entries.assign(entries.begin() + static_cast<ptrdiff_t>(from), entries.end());
    }
    callback(std::move(chunk));
}

void SimulatedEntryHost::StubWorkers::renew(
    const std::string& address, const LeaseRenewal&, Callback<LeaseReport> callback)
{
    callback(host->m_reports.at(address));
}

SimulatedEntryHost::SimulatedEntryHost(ClusterSize size)
    : m_members(size.members)
    , m_region({ .log = &m_log,
          .clock = &m_clock,
          .name = "region",
          .member = SyntheticCluster::memberId(1),
          .incarnation = SyntheticCluster::incarnation,
          .executor = runInline })
    , m_membership({ .member = SyntheticCluster::memberId(1), .incarnation = SyntheticCluster::incarnation }, m_region)
    , m_dispatcher(
          { .member = SyntheticCluster::memberId(1), .workers = &m_workers, .clock = &m_clock, .executor = runInline },
          m_region, m_membership)
    , m_lossDetector(m_region, m_membership, m_dispatcher)
{
    m_workers.host = this;
    const SyntheticCluster cluster(size);
    for (const auto& batch : cluster.batches())
        m_log.entries.push_back({ m_log.entries.size(), SyntheticCluster::logTimeMs, encodeBatch(batch) });
    // The first tick looks for a snapshot, which does not exist, and the second tick reads the log stream.
    m_region.tick(m_clock.time);
    m_region.tick(m_clock.time);
    VERIFY(m_region.hasCaughtUp() && m_region.state().image().workers.size() == size.workers);
    for (const auto& [id, worker] : m_region.state().image().workers) {
        LeaseReport report { .workerClockMs = 5'000'000 };
        for (const auto& job : worker.jobs)
            report.running.push_back({ .task = { job, 1 }, .used = { 900, 1'800, 0 }, .progressPerMille = 500 });
        m_reports[worker.spec.address] = std::move(report);
    }
    tickDispatcher();
}

void SimulatedEntryHost::advance()
{
    m_clock.time += daemonTickInterval;
    m_membership.logReadSucceeded(m_clock.time);
    for (size_t n = 2; n <= m_members; ++n) {
        auto ms = m_clock.time.time_since_epoch().count();
        m_membership.heartbeatReceived({ .member = SyntheticCluster::memberId(n),
                                           .incarnation = SyntheticCluster::incarnation,
                                           .position = m_region.state().position(),
                                           .sentAtMs = ms,
                                           .echoMs = ms },
            m_clock.time);
    }
}

void SimulatedEntryHost::tickDispatcher()
{
    advance();
    m_dispatcher.tick(m_clock.time);
}

void SimulatedEntryHost::tickLossDetector()
{
    advance();
    m_lossDetector.tick(m_clock.time);
}

}
