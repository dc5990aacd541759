#include <LibCore/Digest.h>
#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/LeadershipMonitor.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

static constexpr Milliseconds keepaliveInterval { 300 };
static constexpr Milliseconds appendTimeout { 800 };
static constexpr Milliseconds readWait { 600 };
static constexpr Milliseconds shortestReadWait { 40 };

/// After a longer time without an answer, the leader may have been heard by others.
static constexpr Milliseconds longestReadGap = Milliseconds { 1000 } + readWait;
static constexpr Milliseconds retryDelay { 150 };

/// A silent leader is replaced after this time and a delay that differs by node.
static constexpr Milliseconds leaderTimeout { 1050 };
static constexpr Milliseconds largestRankDelay { 250 };

/// Nodes with less than this share of the processor time of the strongest candidate leave it this much time to claim.
/// One leader orders all workers, so a small host would bound the whole system.
static constexpr double strongCandidateShare = 0.75;
static constexpr Milliseconds weakCandidateDelay { 400 };

/// Time in which nodes that start together learn of each other before the first election.
static constexpr Milliseconds candidacyPeriod { 500 };

/// A leader trusts its leadership for this long after it sent its last stored keepalive; shorter than leaderTimeout.
static constexpr Milliseconds leadershipLease { 950 };

LeadershipMonitor::LeadershipMonitor(EventLoop& loop, RecordStore& store, Options options)
    : m_loop(loop)
    , m_store(store)
    , m_options(std::move(options))
{
}

LeadershipMonitor::~LeadershipMonitor() { *m_alive = false; }

void LeadershipMonitor::start()
{
    m_startedAt = m_loop.now();
    m_leaderSeenAt = m_startedAt;
    announceCandidacy();
    readNext();
}

/// The store may deliver this late or never; the node is then only ranked as one of unknown strength.
void LeadershipMonitor::announceCandidacy()
{
    LeadershipRecord record { .member = m_options.node.member,
        .incarnation = m_options.node.incarnation,
        .peerAddress = m_options.node.peerAddress,
        .epoch = candidacyEpoch,
        .cpuMillis = m_options.node.cpuMillis };
    AppendRequest request { .stream = StreamName::Leadership, .records = { { .value = encodeValue(record) } } };
    m_store.append(request, appendTimeout, [this, alive = m_alive](absl::StatusOr<AppendReply> reply) {
        if (!*alive || reply.ok())
            return;
        logWarning("candidacy_failed", { { "error", statusText(reply.status()) } });
        m_loop.callAfter(keepaliveInterval, [this, alive] {
            if (*alive && !m_retired)
                announceCandidacy();
        });
    });
}

void LeadershipMonitor::readNext()
{
    // A node whose turn to claim comes sooner looks at the stream just then.
    auto wait = readWait;
    if (mayClaim())
        wait = std::clamp(claimDueAt() - m_loop.now(), shortestReadWait, readWait);
    m_store.read(StreamName::Leadership, 0, m_position, wait, [this, alive = m_alive](absl::StatusOr<ReadReply> reply) {
        if (!*alive)
            return;
        if (reply.ok())
            return readFinished(*reply);
        logWarning("leadership_read_failed", { { "error", statusText(reply.status()) } });
        m_loop.callAfter(retryDelay, [this, alive] {
            if (*alive)
                readNext();
        });
    });
}

void LeadershipMonitor::readFinished(const ReadReply& reply)
{
    auto now = m_loop.now();
    if (now - m_storeContactAt > longestReadGap)
        m_leaderSeenAt = now;
    m_storeContactAt = now;
    if (reply.expired) {
        m_position = reply.firstRetained;
    } else {
        for (const auto& record : reply.records)
            applyRecord(record);
        m_position += reply.records.size();
        if (m_position >= reply.end)
            considerClaim();
    }
    readNext();
}

void LeadershipMonitor::applyRecord(const KeyedRecord& record)
{
    auto decoded = decodeValue<LeadershipRecord>(record.value);
    if (!decoded.ok())
        return;
    m_strongestCpuMillis = std::max(m_strongestCpuMillis, decoded->cpuMillis);
    if (decoded->epoch == candidacyEpoch)
        return;
    if (decoded->epoch == 0)
        return applyClaim(*decoded, record.offset + 1);
    if (!m_leader || decoded->epoch != m_leader->epoch)
        return;
    m_leaderSeenAt = m_loop.now();
    m_leaderResigned = decoded->resigns;
}

void LeadershipMonitor::applyClaim(const LeadershipRecord& record, uint64_t epoch)
{
    bool earlierLeader = m_leader.has_value() || epoch > 1;
    bool known = m_leader && m_leader->epoch == epoch;
    m_leader = Leader { epoch, record.member, record.incarnation, record.peerAddress };
    m_leaderSeenAt = m_loop.now();
    m_leaderResigned = false;
    bool own = record.incarnation == m_options.node.incarnation;
    if (known)
        return;
    logInfo("leader_changed", { { "epoch", epoch }, { "leader", record.member }, { "self", own } });
    if (m_isLeader && !own)
        stepDown();
    if (!own || m_retired)
        return;
    m_isLeader = true;
    m_options.onElected(epoch, earlierLeader);
    sendKeepalive();
}

bool LeadershipMonitor::mayClaim() const
{
    return !m_isLeader && !m_retired && (!m_options.mayClaim || m_options.mayClaim());
}

void LeadershipMonitor::considerClaim()
{
    // A node that could not read must not take its own silence for that of the leader.
    bool streamIsRead = m_loop.now() - m_storeContactAt <= longestReadGap;
    if (!streamIsRead || m_claiming || !mayClaim() || m_loop.now() < claimDueAt())
        return;
    claim();
}

/// When this node should claim if the stream stays silent until then.
Instant LeadershipMonitor::claimDueAt() const
{
    if (!m_leader)
        return m_startedAt + candidacyPeriod + strengthDelay();
    if (m_leaderResigned)
        return m_leaderSeenAt + strengthDelay();
    auto rank = Milliseconds { static_cast<int64_t>(
        digestOf(m_options.node.member) % static_cast<uint64_t>(largestRankDelay.count())) };
    return m_leaderSeenAt + leaderTimeout + strengthDelay() + rank;
}

Milliseconds LeadershipMonitor::strengthDelay() const
{
    auto enough = strongCandidateShare * static_cast<double>(m_strongestCpuMillis);
    return static_cast<double>(m_options.node.cpuMillis) >= enough ? Milliseconds { 0 } : weakCandidateDelay;
}

void LeadershipMonitor::claim()
{
    m_claiming = true;
    LeadershipRecord record { .member = m_options.node.member,
        .incarnation = m_options.node.incarnation,
        .peerAddress = m_options.node.peerAddress,
        .cpuMillis = m_options.node.cpuMillis };
    AppendRequest request { .stream = StreamName::Leadership,
        .records = { { .value = encodeValue(record) } },
        .expectedEndOffset = m_position };
    // The result is not needed: the claim is seen in the stream, also when its answer is lost.
    m_store.append(request, appendTimeout, [this, alive = m_alive](absl::StatusOr<AppendReply>) {
        if (*alive)
            m_claiming = false;
    });
}

void LeadershipMonitor::sendKeepalive()
{
    if (!m_isLeader)
        return;
    auto sentAt = m_loop.now();
    LeadershipRecord record { .member = m_options.node.member,
        .incarnation = m_options.node.incarnation,
        .epoch = m_leader->epoch,
        .resigns = m_retired };
    AppendRequest request { .stream = StreamName::Leadership, .records = { { .value = encodeValue(record) } } };
    m_store.append(request, appendTimeout,
        [this, alive = m_alive, sentAt, epoch = m_leader->epoch](absl::StatusOr<AppendReply> reply) {
            if (!*alive || !m_isLeader || m_leader->epoch != epoch)
                return;
            if (reply.ok())
                m_leaseUntil = sentAt + leadershipLease;
            else
                logWarning("keepalive_failed", { { "epoch", epoch }, { "error", statusText(reply.status()) } });
            m_loop.callAfter(keepaliveInterval, [this, alive, epoch] {
                if (*alive && m_isLeader && m_leader->epoch == epoch && !m_retired)
                    sendKeepalive();
            });
        });
}

void LeadershipMonitor::retire()
{
    if (std::exchange(m_retired, true) || !m_isLeader)
        return;
    logInfo("leader_resigns", { { "epoch", m_leader->epoch } });
    sendKeepalive();
}

void LeadershipMonitor::stepDown()
{
    if (!std::exchange(m_isLeader, false))
        return;
    m_leaseUntil = neverInstant;
    logWarning("leader_deposed", { { "epoch", m_leader->epoch } });
    m_options.onDeposed();
}

}
