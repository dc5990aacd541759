#include <LibCore/GuardedCall.h>
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
static constexpr Milliseconds minReadWait { 40 };

/// If this node has not read the stream for longer than this, the leader may have sent keepalives that this node has
/// not seen.
static constexpr Milliseconds maxReadGap = Milliseconds { 1000 } + readWait;
static constexpr Milliseconds retryDelay { 150 };

/// A leader is replaced if no keepalive arrives within this time plus the delay of the best candidate.
static constexpr Milliseconds leaderTimeout { 1050 };

/// Nodes that start together have this long to read each other's candidacies before the first election.
static constexpr Milliseconds firstElectionDelay { 500 };

/// Duration of the leadership lease, counted from when the last stored keepalive was sent. Must be shorter than
/// leaderTimeout.
static constexpr Milliseconds leadershipLeaseDuration { 950 };

/// A process that drains claims only if it can lead for this long.
static constexpr Milliseconds minDrainingTerm { 1500 };

/// A leader that has handed over goes on if no other process has been elected for this long. Must be longer than an
/// append and the interval of keepalives, so that the last keepalive before has been answered.
static constexpr Milliseconds handOverTimeout { 1200 };
static_assert(handOverTimeout > appendTimeout + keepaliveInterval);

/// A leader that drains resigns this long before its end, so that another process that drains is elected meanwhile.
static constexpr Milliseconds handOverTime { 700 };

/// A leader that drains stops leading this long before its end, and announces it.
static constexpr Milliseconds stopTime { 200 };

/// Expected waits that were read longer ago are ignored, because the backlog may be gone.
static constexpr Milliseconds maxExpectedWaitAge { 3000 };
static constexpr Milliseconds withheldClaimLogInterval { 1000 };

/// Keepalives that are kept until they are read back. An older one proves less than a newer one.
static constexpr size_t maxStoredKeepalives { 32 };

LeadershipMonitor::LeadershipMonitor(EventLoop& loop, RecordStore& store, Options options)
    : m_loop(loop)
    , m_store(store)
    , m_options(std::move(options))
    , m_succession({ .member = m_options.node.member,
          .incarnation = m_options.node.incarnation,
          .cpuMillis = m_options.node.cpuMillis })
{
}

LeadershipMonitor::~LeadershipMonitor() { *m_alive = false; }

void LeadershipMonitor::start()
{
    m_startedAt = m_loop.now();
    m_leaderSilentSince = m_startedAt;
    announceCandidacy();
    readNext();
}

/// The append may be delayed or lost, which is harmless: other nodes then treat the CPU of this node as unknown.
void LeadershipMonitor::announceCandidacy()
{
    auto silence = std::max(m_lastStoreReplyAt - m_leaderSilentSince, Milliseconds { 0 });
    LeadershipRecord record { .member = m_options.node.member,
        .incarnation = m_options.node.incarnation,
        .peerAddress = m_options.node.peerAddress,
        .epoch = candidacyEpoch,
        .cpuMillis = m_options.node.cpuMillis,
        .readUpTo = m_position,
        .drains = drains(),
        .leaderSilentMs = isStreamCurrent() ? silence.count() : 0 };
    AppendRequest request { .stream = StreamName::Leadership, .records = { { .value = encodeValue(record) } } };
    m_store.append(request, appendTimeout, [this, alive = m_alive](absl::StatusOr<AppendReply> reply) {
        if (!*alive || reply.ok())
            return;
        logWarning("candidacy_failed", { { "error", statusText(reply.status()) } });
        m_loop.callAfter(keepaliveInterval, [this, alive] {
            if (*alive && !m_hasResigned)
                announceCandidacy();
        });
    });
}

/// Announces this process again once it has read the elections of earlier processes of its host: this shows that they
/// have ended. The first announcement may be carried out late and shows nothing.
void LeadershipMonitor::announceRestart()
{
    if (m_isRestartAnnounced || m_hasResigned || !m_elections.mayLeadEarlierProcessOf(ownProcess()))
        return;
    m_isRestartAnnounced = true;
    announceCandidacy();
}

LeaderProcess LeadershipMonitor::ownProcess() const
{
    return { m_options.node.member, m_options.node.incarnation, m_options.node.peerAddress };
}

/// Other nodes need not wait for workers any more that may obey this leader.
void LeadershipMonitor::announceStop(uint64_t epoch)
{
    LeadershipRecord record {
        .member = m_options.node.member, .incarnation = m_options.node.incarnation, .epoch = epoch, .hasStopped = true
    };
    AppendRequest request { .stream = StreamName::Leadership, .records = { { .value = encodeValue(record) } } };
    ++m_unstoredStops;
    m_store.append(request, appendTimeout, [this, alive = m_alive, epoch](absl::StatusOr<AppendReply> reply) {
        if (!*alive)
            return;
        --m_unstoredStops;
        if (reply.ok())
            return;
        logWarning("stop_announcement_failed", { { "epoch", epoch }, { "error", statusText(reply.status()) } });
        m_loop.callAfter(keepaliveInterval, [this, alive, epoch] {
            if (*alive)
                announceStop(epoch);
        });
    });
}

void LeadershipMonitor::readNext()
{
    // If this node's claim is due sooner, the read returns in time for the claim.
    auto wait = readWait;
    if (canClaim())
        wait = std::clamp(claimDueAt() - m_loop.now(), minReadWait, readWait);
    m_store.read(StreamName::Leadership, 0, m_position, wait, [this, alive = m_alive](absl::StatusOr<ReadReply> reply) {
        if (!*alive)
            return;
        if (reply.ok())
            return handleReadReply(*reply);
        logWarning("leadership_read_failed", { { "error", statusText(reply.status()) } });
        m_loop.callAfter(retryDelay, [this, alive] {
            if (*alive)
                readNext();
        });
    });
}

void LeadershipMonitor::handleReadReply(const ReadReply& reply)
{
    auto now = m_loop.now();
    if (now - m_lastStoreReplyAt > maxReadGap)
        m_leaderSilentSince = now;
    m_lastStoreReplyAt = now;
    if (reply.isExpired) {
        m_position = reply.firstRetained;
        m_elections.clear();
        m_storedKeepalives.clear();
        m_missedRecordsAt = now;
    } else {
        // A failure must not end the reads: a leader that does not read them would not learn of its successor.
        for (const auto& record : reply.records)
            guardedCall("leadership_record_failed", [&] { applyRecord(record); });
        m_position += reply.records.size();
        confirmLeadership();
        if (m_position >= reply.end) {
            guardedCall("claim_failed", [&] { claimIfDue(); });
            logWithheldClaim();
            announceRestart();
            handOverIfDue();
        }
    }
    readNext();
}

void LeadershipMonitor::applyRecord(const KeyedRecord& record)
{
    auto decoded = decodeValue<LeadershipRecord>(record.value);
    if (!decoded.ok()) {
        logWarning(
            "leadership_record_unreadable", { { "offset", record.offset }, { "error", statusText(decoded.status()) } });
        return m_elections.clear();
    }
    if (decoded->epoch == candidacyEpoch)
        return applyCandidacy(*decoded);
    if (decoded->hasStopped)
        return m_elections.leaderStopped(decoded->epoch, decoded->member, decoded->incarnation);
    if (decoded->epoch == 0)
        return applyClaim(*decoded, record.offset + 1);
    if (!m_leader || decoded->epoch > m_leader->epoch)
        applyKeepaliveOfUnknownLeader(*decoded);
    if (!m_leader || decoded->epoch != m_leader->epoch)
        return;
    m_elections.electedBefore(decoded->epoch, m_loop.now(), Milliseconds { decoded->electionAgeMs });
    applyLeaderRecord(record.offset);
    m_hasLeaderResigned = decoded->resigns;
    m_expectedWaits = std::move(decoded->expectedWaits);
    m_expectedWaitsReadAt = m_loop.now();
}

void LeadershipMonitor::applyLeaderRecord(LogPosition offset)
{
    m_leaderSilentSince = m_loop.now();
    m_leaderRecordsEnd = offset + 1;
}

void LeadershipMonitor::applyCandidacy(const LeadershipRecord& record)
{
    m_elections.processSeenAfter(record.readUpTo, { record.member, record.incarnation, record.peerAddress });
    m_succession.candidateSeen(
        record.member, { .incarnation = record.incarnation, .cpuMillis = record.cpuMillis, .drains = record.drains });
    // The author has read all records of the leader that this node has read.
    if (record.readUpTo >= m_leaderRecordsEnd)
        m_leaderSilentSince = std::min(m_leaderSilentSince, m_loop.now() - Milliseconds { record.leaderSilentMs });
    // A claim of an earlier process of this host may have been carried out since it was sent.
    if (record.incarnation == m_options.node.incarnation)
        m_isRestartAnnounced = false;
}

void LeadershipMonitor::applyClaim(const LeadershipRecord& record, uint64_t epoch)
{
    bool hasPredecessor = m_leader.has_value() || epoch > 1;
    bool isKnown = m_leader && m_leader->epoch == epoch;
    LeaderProcess process { record.member, record.incarnation, record.peerAddress };
    // The claim was stored only because its author had read all earlier ones.
    m_elections.processSeenAfter(epoch - 1, process);
    m_elections.add(epoch, m_loop.now(), std::move(process),
        { .sincePredecessor = Milliseconds { record.electionAgeMs },
            .storesReachedWorkers = record.storesReachedWorkers,
            .recordsStartsOfIdleTasks = record.recordsStartsOfIdleTasks,
            .placementsRecordedSince = record.placementsRecordedSince });
    if (record.drains)
        m_succession.candidatesMissedElection();
    m_succession.candidateSeen(
        record.member, { .incarnation = record.incarnation, .cpuMillis = record.cpuMillis, .drains = record.drains });
    m_leader = Leader { epoch, record.member, record.incarnation, record.peerAddress };
    if (!isKnown)
        m_expectedWaits.clear();
    auto silence = m_loop.now() - m_leaderSilentSince;
    applyLeaderRecord(epoch - 1);
    m_hasLeaderResigned = false;
    bool isOwn = record.incarnation == m_options.node.incarnation;
    if (isKnown)
        return;
    logInfo("leader_changed",
        { { "epoch", epoch }, { "leader", record.member }, { "self", isOwn }, { "silent_ms", silence.count() } });
    if (m_isLeader && !isOwn)
        stepDown();
    if (isOwn && m_hasResigned)
        announceStop(epoch);
    if (!isOwn || m_hasResigned)
        return;
    m_isLeader = true;
    m_hasHandedOver = false;
    m_ownEpoch = epoch;
    m_fenceToken = epoch;
    m_options.onElected(epoch, hasPredecessor);
    sendKeepalive();
}

/// The store has deleted the claim of a leader that has led for longer than the history lasts. Elections between the
/// known ones and this one may be unknown too.
void LeadershipMonitor::applyKeepaliveOfUnknownLeader(const LeadershipRecord& record)
{
    // Older versions send keepalives without an address, to which no query can be sent.
    if (record.peerAddress.empty())
        return;
    m_elections.clear();
    m_elections.setPlacementsRecordedSince(record.placementsRecordedSince);
    m_leader = Leader { record.epoch, record.member, record.incarnation, record.peerAddress };
    m_expectedWaits.clear();
    logInfo("leader_changed", { { "epoch", record.epoch }, { "leader", record.member }, { "self", false } });
    stepDown();
}

std::vector<ExpectedWait> LeadershipMonitor::expectedWaits() const
{
    bool isRecent = m_loop.now() - m_expectedWaitsReadAt <= maxExpectedWaitAge;
    return isRecent ? m_expectedWaits : std::vector<ExpectedWait> {};
}

/// The least time since the election of the current leader.
Milliseconds LeadershipMonitor::electionAge() const
{
    auto electedBy = m_leader ? m_elections.electedBy(m_leader->epoch) : std::nullopt;
    return electedBy ? m_loop.now() - *electedBy : Milliseconds { 0 };
}

bool LeadershipMonitor::canClaim() const
{
    return !m_isLeader && !m_hasResigned && hasTimeToLead() && (!m_options.canClaim || m_options.canClaim());
}

bool LeadershipMonitor::hasTimeToLead() const { return !drains() || m_loop.now() + minDrainingTerm <= m_endsBy; }

/// A node that could not read the stream must not conclude that the leader sent no keepalives.
bool LeadershipMonitor::isStreamCurrent() const { return m_loop.now() - m_lastStoreReplyAt <= maxReadGap; }

void LeadershipMonitor::claimIfDue()
{
    if (!isStreamCurrent() || m_isClaiming || !canClaim() || m_loop.now() < claimDueAt())
        return;
    claim();
}

/// Time at which this node claims leadership if it reads no further record of the leader.
Instant LeadershipMonitor::claimDueAt() const
{
    auto delay = m_succession.claimDelay(m_leader ? m_leader->incarnation : 0, drains());
    if (!m_leader)
        return m_startedAt + firstElectionDelay + delay;
    if (m_hasLeaderResigned)
        return m_leaderSilentSince + delay;
    return m_leaderSilentSince + leaderTimeout + delay;
}

void LeadershipMonitor::logWithheldClaim()
{
    auto now = m_loop.now();
    auto silence = now - m_leaderSilentSince;
    bool isSilent = m_hasLeaderResigned || silence >= leaderTimeout;
    if (m_isLeader || m_isClaiming || !isSilent || now - m_withheldClaimLoggedAt < withheldClaimLogInterval)
        return;
    m_withheldClaimLoggedAt = now;
    const auto* reason = "candidates_before_it";
    if (m_hasResigned)
        reason = "resigned";
    else if (!hasTimeToLead())
        reason = "ends_soon";
    else if (!canClaim())
        reason = "not_loaded";
    logInfo("claim_withheld", { { "reason", reason }, { "silent_ms", silence.count() }, { "drains", drains() } });
}

void LeadershipMonitor::claim()
{
    m_isClaiming = true;
    m_claimedAt = m_loop.now();
    LeadershipRecord record { .member = m_options.node.member,
        .incarnation = m_options.node.incarnation,
        .peerAddress = m_options.node.peerAddress,
        .cpuMillis = m_options.node.cpuMillis,
        .electionAgeMs = electionAge().count(),
        .storesReachedWorkers = true,
        .recordsStartsOfIdleTasks = true,
        .placementsRecordedSince = m_elections.placementsRecordedSince().value_or(m_position + 1),
        .drains = drains() };
    AppendRequest request { .stream = StreamName::Leadership,
        .records = { { .value = encodeValue(record) } },
        .expectedEndOffset = m_position };
    // The reply is not needed: this node reads its claim from the stream, even if the reply is lost.
    m_store.append(request, appendTimeout, [this, alive = m_alive](absl::StatusOr<AppendReply> reply) {
        if (!*alive)
            return;
        m_isClaiming = false;
        if (reply.ok())
            m_claimEnd = reply->offset + 1;
    });
}

void LeadershipMonitor::sendKeepalive()
{
    if (!m_isLeader)
        return;
    auto sentAt = m_loop.now();
    LeadershipRecord record { .member = m_options.node.member,
        .incarnation = m_options.node.incarnation,
        .peerAddress = m_options.node.peerAddress,
        .epoch = m_leader->epoch,
        .resigns = hasResignedEpoch(),
        .electionAgeMs = electionAge().count(),
        .placementsRecordedSince = m_elections.placementsRecordedSince().value_or(m_leader->epoch) };
    if (m_options.expectedWaits && !record.resigns)
        record.expectedWaits = m_options.expectedWaits();
    AppendRequest request { .stream = StreamName::Leadership, .records = { { .value = encodeValue(record) } } };
    m_store.append(request, appendTimeout,
        [this, alive = m_alive, sentAt, epoch = m_leader->epoch](absl::StatusOr<AppendReply> reply) {
            if (!*alive || !m_isLeader || m_leader->epoch != epoch)
                return;
            if (reply.ok() && !hasResignedEpoch()) {
                m_storedKeepalives.emplace(reply->offset, sentAt);
                if (m_storedKeepalives.size() > maxStoredKeepalives)
                    m_storedKeepalives.erase(m_storedKeepalives.begin());
                confirmLeadership();
            } else if (!reply.ok()) {
                logWarning("keepalive_failed", { { "epoch", epoch }, { "error", statusText(reply.status()) } });
            }
            m_loop.callAfter(keepaliveInterval, [this, alive, epoch] {
                if (*alive && m_isLeader && m_leader->epoch == epoch && !hasResignedEpoch())
                    sendKeepalive();
            });
        });
}

/// A stored keepalive proves that no other node was elected before it was sent only once this node has read all records
/// up to it: the claim of another node may precede it in the stream.
void LeadershipMonitor::confirmLeadership()
{
    while (!m_storedKeepalives.empty() && m_storedKeepalives.begin()->first < m_position) {
        const auto [offset, sentAt] = *m_storedKeepalives.begin();
        m_storedKeepalives.erase(m_storedKeepalives.begin());
        // A leader whose claim was among missed records sends a keepalive within this time.
        if (sentAt - m_missedRecordsAt < leaderTimeout)
            continue;
        m_confirmedAt = sentAt;
        m_leaseExpiresAt = m_confirmedAt + leadershipLeaseDuration;
        m_fenceToken = offset + 1;
    }
}

void LeadershipMonitor::resign()
{
    if (!std::exchange(m_hasResigned, true))
        resignEpoch();
}

void LeadershipMonitor::resignEpoch()
{
    if (!m_isLeader || std::exchange(m_hasHandedOver, true))
        return;
    logInfo("leader_resigns", { { "epoch", m_leader->epoch } });
    // A successor may be elected as soon as the record is stored.
    m_leaseExpiresAt = neverInstant;
    m_storedKeepalives.clear();
    sendKeepalive();
}

void LeadershipMonitor::drain(Instant endsBy)
{
    if (drains())
        return;
    m_endsBy = endsBy;
    announceCandidacy();
    handOverIfDue();
    m_loop.callAfter(std::max(endsBy - handOverTime - m_loop.now(), Milliseconds { 0 }), [this, alive = m_alive] {
        if (*alive)
            endDrain();
    });
}

void LeadershipMonitor::handOverIfDue()
{
    if (!m_isLeader || m_hasHandedOver || !drains() || !m_succession.hasSuccessor())
        return;
    resignEpoch();
    m_loop.callAfter(handOverTimeout, [this, alive = m_alive, epoch = m_ownEpoch] {
        if (*alive && m_isLeader && m_ownEpoch == epoch && !m_hasResigned)
            takeBackResignation();
    });
}

/// The keepalive that follows is stored either before any claim, which then fails, or after one, which deposes this
/// leader before the keepalive proves its leadership.
void LeadershipMonitor::takeBackResignation()
{
    logInfo("resignation_taken_back", { { "epoch", m_ownEpoch } });
    m_succession.candidatesMissedElection();
    m_hasHandedOver = false;
    sendKeepalive();
}

void LeadershipMonitor::endDrain()
{
    resign();
    m_loop.callAfter(handOverTime - stopTime, [this, alive = m_alive] {
        if (*alive)
            stepDown();
    });
}

bool LeadershipMonitor::mayEnd() const
{
    return !m_isLeader && !m_isClaiming && m_claimEnd <= m_position && m_unstoredStops == 0;
}

void LeadershipMonitor::stepDown()
{
    if (!std::exchange(m_isLeader, false))
        return;
    m_leaseExpiresAt = neverInstant;
    m_confirmedAt = neverInstant;
    m_storedKeepalives.clear();
    logWarning("leader_deposed", { { "epoch", m_leader->epoch } });
    m_options.onDeposed();
    announceStop(m_ownEpoch);
}

}
