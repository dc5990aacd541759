#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CallTimeout.h>
#include <LibDecision/TaskAction.h>
#include <LibDecision/WorkerClock.h>
#include <LibNode/CommandQueue.h>
#include <LibNode/ConcurrencyLimiter.h>
#include <LibNode/UnprovenStarts.h>
#include <LibPlatform/TaskExecutor.h>
#include <LibPlatform/WorkerAnnouncement.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Bergamot {

class EventLoop;
class LeaderLoad;

/// The leader's session with one incarnation of a worker: renews its lease, receives its reports of active and ended
/// runs, and sends task commands one at a time, except for stops that would be late.
class WorkerSession {
public:
    struct Events {
        /// Called with the runs that the worker reports in its reply to a lease renewal sent at `requestSentAt`.
        std::function<void(const RenewLeaseReply&, Instant requestSentAt)> onReport {};

        /// Called with the run ends that a worker lists in its reply to a proof of its incarnation. Its next report
        /// lists them too, unless the worker has left by then.
        std::function<void(const std::vector<RunEnd>&)> onEndsListed { [](const std::vector<RunEnd>&) {} };

        /// Called with the run ends in a reply that arrives after the session was closed. May be called after the
        /// session and its owner have been destroyed.
        std::function<void(const std::vector<RunEnd>&)> onLateEnds { [](const std::vector<RunEnd>&) {} };
        std::function<void(const StartTask&, TaskCommandOutcome)> onStartReply {};

        /// Called when a start got no reply, for each attempt.
        std::function<void(const StartTask&)> onStartUnanswered { [](const StartTask&) {} };
        std::function<void(const TaskRef&, uint64_t run)> onStopAccepted {};
        std::function<void(bool reachable)> onReachabilityChanged {};

        /// Called when the worker may have crashed: a lease renewal was refused, or two on end broke their connections.
        std::function<void()> onConnectionsBroken {};

        /// Called when every lease granted to the worker has expired, so that no run is active there.
        std::function<void()> onLeaseExpired {};

        /// Called when another incarnation of the worker, or a process with another id, replies at the address, so that
        /// this one has ended.
        std::function<void()> onIncarnationMismatch {};

        /// Called when the worker has seen a higher fencing token.
        std::function<void()> onFenced {};
    };

    static constexpr Milliseconds defaultUnacknowledgedWait { 800 };

    /// An end counts as known 100 ms after its worker has listed it, so a leaving worker is asked more often.
    static constexpr Milliseconds defaultLeavingReportInterval { 50 };

    struct Options {
        TaskExecutorAddress executor {};
        int64_t startedAtMs { 0 };

        /// Whether an earlier leader has stored the worker with this address, or its former incarnation has replied
        /// there, so that the address is not only an announced one.
        bool isAddressProven { false };

        /// Duration of the requested leases; without proof of leadership they are shorter.
        Milliseconds lease { 6000 };

        /// Duration of the longest lease that the worker grants.
        Milliseconds maxLease { 6000 };

        /// Whether misdirected calls, which were meant for an earlier incarnation of the worker, may reach this one. By
        /// its clock, which starts anew, the lease that they grant ends late, so it lasts for `maxLease`.
        bool mayHoldMisdirectedLease { false };

        /// Local time by which the worker has executed the last misdirected call, if it has not replied before.
        Instant misdirectedCallsEndBy { neverInstant };

        /// Local time by which a lease that a misdirected call granted has expired; not set if it is not known when
        /// this incarnation first replied to a leader.
        std::optional<Instant> misdirectedLeaseExpiresBy {};

        /// Local time after which no earlier leader has renewed the lease; the time of creation if it is not set.
        std::optional<Instant> earlierRenewalsEndedBy {};

        /// Time-out of commands, adapted to the response times of all workers. Must outlive the session.
        CallTimeout& commandTimeout;

        /// Time after which the report of run ends that are not acknowledged is repeated, adapted to the time until the
        /// acknowledgements of all workers. Must outlive the session.
        CallTimeout& acknowledgementTimeout;

        /// Maximum time that a worker with active runs delays its report. The leader may change the value at any time.
        /// Must outlive the session.
        const Milliseconds& reportWait;

        /// Maximum time until the report of run ends that are not acknowledged is repeated. The worker replies to it at
        /// once, so its crash is noticed only by the next one. The leader may change the value at any time. Must
        /// outlive the session.
        const Milliseconds& maxUnacknowledgedWait { defaultUnacknowledgedWait };

        /// Whether the worker has announced that it leaves. Run ends that it has not reported by then are lost with it,
        /// so it is asked for further ones before the reported ones are stored.
        std::function<bool()> isLeaving { [] { return false; } };

        /// The time after which a leaving worker with active runs is asked for further run ends. The leader may change
        /// the value at any time. Must outlive the session.
        const Milliseconds& leavingReportInterval { defaultLeavingReportInterval };

        /// Whether the start may be sent now. Asked directly before each start command is sent, also before a retry:
        /// the decision may be seconds old, and the worker may have announced its drain since.
        std::function<bool(const StartTask&)> canStart {};

        /// Whether no successor of this leader is elected for certain.
        std::function<bool()> isSoleLeader { [] { return true; } };

        /// Whether no successor of this leader had been elected at that time for certain. Asked before leases count as
        /// expired: a successor may have renewed them.
        std::function<bool(Instant)> wasSoleLeaderAt { [](Instant) { return true; } };

        /// Whether leases may be renewed. Asked before each lease renewal, which otherwise only fetches the report.
        std::function<bool()> canRenewLeases { [] { return true; } };

        /// Whether an earlier leader may still renew the lease of this worker. Asked before the leases of a worker that
        /// has never replied count as expired.
        std::function<bool()> mayEarlierLeaderRenew { [] { return false; } };

        /// Shared by all sessions: limits concurrent lease renewals of unreachable workers, each of which may need a
        /// new connection. Commands are not limited: an overloaded leader would process the replies late and send too
        /// few commands.
        std::shared_ptr<ConcurrencyLimiter> renewalLimiter {};

        /// Shared by all sessions and optional. Must outlive the session.
        LeaderLoad* load { nullptr };
        Events events {};
    };

    /// `loop` and `taskExecutor` must outlive the session.
    WorkerSession(EventLoop&, TaskExecutor&, Options);
    ~WorkerSession();

    /// The worker refuses calls with lower fencing tokens from its first reply on. So `fenceToken` must be above
    /// those of all sessions with earlier incarnations of the worker.
    void start(uint64_t fenceToken);
    void enqueueCommand(TaskAction);

    /// Suppresses all further events but onLateEnds, including events from replies that have already arrived. For an
    /// owner that is called by the session and therefore cannot destroy it yet.
    void close() { *m_alive = false; }

    /// Takes back the starts that have not been sent. Called before the worker is removed.
    void withdrawUnsentStarts();

    /// Acknowledges all run ends up to this sequence number; they must be stored.
    void acknowledge(uint64_t sequence);

    /// Neither renews the worker's lease nor starts tasks until allowLease() is called.
    void withholdLease() { m_isLeaseWithheld = true; }
    void allowLease();
    bool withholdsLease() const { return m_isLeaseWithheld; }

    /// True while the worker has never replied with its clock, without which this session cannot renew its lease.
    bool isUnreached() const { return !m_clock.isKnown(); }
    bool isUnreachedFor(Milliseconds) const;

    /// The highest sequence number of a reported run end.
    uint64_t lastEndSequence() const { return m_lastEndSequence; }

    /// The highest sequence number up to which all run ends are stored, and the one up to which the worker has
    /// confirmed their acknowledgement.
    uint64_t storedEndSequence() const { return m_storedEndSequence; }
    uint64_t acknowledgedEndSequence() const { return m_acknowledgedEndSequence; }

    /// True once the worker has reported its runs and all of its run ends to this leader, or all leases granted by
    /// earlier leaders have expired.
    bool isReconciled() const { return m_isReconciled; }

    /// Whether the worker has listed no run, all of its run ends are stored, and no start is to be sent to it or may
    /// still be executed.
    bool isIdle() const;

    /// Whether the last report left out run ends. The worker reports them once the earlier ones are acknowledged.
    bool hasUnreadEnds() const { return m_hasUnreadEnds; }
    bool isReachable() const { return m_isReachable; }

    /// Time of the last reply; neverInstant before the first one.
    Instant lastReplyAt() const { return m_clock.readAt(); }

    /// When the latest request was sent that the worker has answered. A reply may be read long after it has arrived.
    Instant answeredRequestSentAt() const { return m_answeredRequestSentAt; }

    /// True when every lease granted to the worker has expired for certain and it has not replied since.
    bool haveLeasesExpired() const { return m_isLeaseExpiryReported; }

    /// Whether a misdirected call may have granted a lease to the worker that lasts still.
    bool mayHoldMisdirectedLease() const;

    /// When the first reply was read, if it named the incarnation; neverInstant otherwise.
    Instant firstReplyAt() const { return m_firstReplyAt; }

    /// Local time by which a later incarnation has executed the last start that was meant for this one or for an
    /// earlier one; neverInstant if there was none.
    Instant misdirectedStartsEndBy() const;

    /// Upper bound of the time until every lease granted to the worker has expired.
    Milliseconds remainingLease() const;

    /// True when consecutive lease renewals failed with refused connections. The worker has most likely ended, but a
    /// partitioned network may refuse connections too.
    bool refusesConnections() const;

    /// True when refusesConnections() was true at some time since the last reply.
    bool hasRefusedConnections() const { return m_hasRefusedConnections; }
    const TaskExecutorAddress& executor() const { return m_options.executor; }

    /// Start time of the incarnation: the announced one until the worker has replied.
    int64_t startedAtMs() const { return m_options.startedAtMs; }

    /// Start time of the incarnation with the same id that has replied in place of this one; 0 if there is none.
    int64_t successorStartedAtMs() const { return m_successorStartedAtMs; }

    /// Number of calls that failed without an answer, or wait for one. Each may be executed later, also by a later
    /// incarnation.
    size_t unansweredCalls() const { return m_unansweredCalls + m_callsInProgress; }

    /// Stops of the runs that the worker, or a later incarnation at its address, may have started without a reply.
    std::vector<StopTask> stopsOfPossibleRuns() const;

    /// Stops of the runs of which a start may be executed by the next incarnation, whether or not it was accepted.
    std::vector<StopTask> stopsOfUnprovenRuns() const;

    /// The start in progress if it was sent at least this long ago, or nullptr.
    const StartTask* startWithoutReplyFor(Milliseconds) const;

    /// Asks the worker for a report, which carries the start time of its incarnation.
    void proveIncarnation();

private:
    enum class ReplyOrigin : uint8_t {
        ThisIncarnation,
        Unproven, ///< Another process, whose reply does not prove that this incarnation has ended.
        Successor,
    };

    enum class ReplyCheck : uint8_t {
        Valid,
        Ignored, ///< To be treated like a lost reply.
        SessionEnded,
    };

    /// Delay before a failed call is repeated.
    static constexpr Milliseconds retryDelay { 150 };

    void renewLease();
    Milliseconds currentReportWait() const;
    void sendLeaseRenewal(std::shared_ptr<ConcurrencyLimiter>);
    void handleLeaseRenewalReply(absl::StatusOr<RenewLeaseReply>, Instant requestSentAt);
    void scheduleLeaseRenewal(Milliseconds delay);
    bool mayLoseUnreportedEnds() const;
    void recordReply(const TaskCommandReply&, Instant requestSentAt);
    void recordFirstReply(const TaskCommandReply&);
    void recordCommandReply(const TaskCommandReply&, Instant requestSentAt);
    ReplyOrigin originOf(const TaskCommandReply&, Instant requestSentAt) const;
    ReplyCheck checkReply(const TaskCommandReply&, Instant requestSentAt);
    void recordCallResult(const absl::Status&);
    bool hasOtherClock(const TaskCommandReply&, Instant requestSentAt) const;
    void recordFailure();
    void sendNextCommand();
    void recordBrokenConnection(const absl::Status&);
    bool isIncarnationProven() const { return m_connectionBrokenAt == neverInstant; }
    void recordProof(Instant requestSentAt);
    void handleCommandReply(const absl::StatusOr<TaskCommandReply>&);
    void handleLostCommandReply(const absl::Status&);
    void sendNextCommandAfter(Milliseconds delay);
    void confirmLater();
    TaskCommandContext commandContext() const;
    void scheduleStopCheck(const StopTask&);
    void sendOverdueStop(const StopTask&);
    void handleOverdueStopReply(const StopTask&, const absl::StatusOr<TaskCommandReply>&, Instant sentAt);
    bool refuseForbiddenStarts();
    bool mustConfirm(const TaskCommandReply&) const;
    bool cancelQueuedStart(const StopTask&);
    void refuseQueuedStarts();
    void reportCommandReply(const TaskAction&, const TaskCommandReply&);
    int64_t leaseEndMs() const;
    void recordGrantedLease(int64_t endMs);
    void scheduleLeaseExpiryCheck();
    void checkLeaseExpiry();

    EventLoop& m_loop;
    TaskExecutor& m_taskExecutor;
    Options m_options;
    uint64_t m_fenceToken { 0 };
    Instant m_startedAt { neverInstant };

    WorkerClock m_clock;
    Instant m_answeredRequestSentAt { neverInstant };

    /// Local time by which every lease granted so far has expired.
    Instant m_leasesExpireBy { neverInstant };

    /// Local time by which a lease has expired that was granted by a misdirected call; neverInstant while it is
    /// unknown.
    Instant m_misdirectedLeaseExpiresBy { neverInstant };
    Instant m_firstReplyAt { neverInstant };
    Instant m_lastStartSentAt { neverInstant };

    /// Incremented when a check of the expiry is scheduled, so that the earlier ones have no effect.
    uint64_t m_expiryCheckGeneration { 0 };

    /// Latest end of a granted lease, by the worker's clock.
    int64_t m_latestLeaseEndMs { 0 };
    uint64_t m_lastEndSequence { 0 };
    uint64_t m_storedEndSequence { 0 };
    uint64_t m_acknowledgedEndSequence { 0 };

    /// When the latest new run ends were reported.
    Instant m_newEndsAt { neverInstant };
    bool m_isReconciled { false };
    bool m_hasUnreadEnds { false };
    bool m_isReachable { false };
    bool m_isLeaseWithheld { false };
    bool m_isRenewalInProgress { false };
    bool m_isRenewalScheduled { false };
    bool m_isLastRenewalAccepted { false };

    /// Incremented when a renewal is sent, so that the timers of earlier schedules have no effect.
    uint64_t m_renewalGeneration { 0 };

    /// The renewal in progress waits for its turn among those of unreachable workers.
    bool m_isRenewalQueued { false };
    bool m_hasRuns { false };
    uint32_t m_failures { 0 };
    size_t m_callsInProgress { 0 };
    size_t m_unansweredCalls { 0 };

    /// Consecutive lease renewals that failed because the connection was refused.
    uint32_t m_refusedConnections { 0 };
    bool m_hasRefusedConnections { false };

    /// Consecutive lease renewals that failed before their time-out.
    uint32_t m_brokenConnections { 0 };
    bool m_isLeaseExpiryReported { false };
    int64_t m_successorStartedAtMs { 0 };

    /// The worker has replied, so that the start time is not only an announced one.
    bool m_hasReplied { false };
    CommandQueue m_commands;
    Instant m_commandSentAt { neverInstant };

    /// Stops without a reply that were sent beside other commands.
    std::vector<StopTask> m_overdueStops;

    UnprovenStarts m_unprovenStarts;

    /// When the last connection to the worker broke; neverInstant if the incarnation has replied to a lease renewal
    /// sent later. Until then a start could reach, and crash, a new incarnation.
    Instant m_connectionBrokenAt { neverInstant };
    bool m_isProofInProgress { false };

    /// The worker has replied to a proof since the last command was sent.
    bool m_hasProofForFront { false };

    /// The reply to the command in progress is ignored, because its run has ended.
    bool m_discardsCommandReply { false };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
