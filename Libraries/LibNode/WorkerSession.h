#pragma once

#include <LibCore/Time.h>
#include <LibDecision/CallTimeout.h>
#include <LibDecision/TaskAction.h>
#include <LibNode/CallWindow.h>
#include <LibPlatform/TaskExecutor.h>
#include <LibPlatform/WorkerAnnouncement.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Bergamot {

class EventLoop;

/// The leader's side of one life of a worker: renews its lease, collects what runs and what has ended, and delivers
/// orders one after the other.
class WorkerSession {
public:
    struct Events {
        /// The worker answered with its lists; `requestSentAt` is when the question was sent.
        std::function<void(const RenewLeaseReply&, Instant requestSentAt)> onReport {};
        std::function<void(const StartTask&, TaskCommandOutcome)> onStartAnswered {};
        std::function<void(const TaskRef&, uint64_t run)> onStopAccepted {};
        std::function<void(bool reachable)> onReachableChanged {};

        /// Everything that ran there is over: the lease has lapsed.
        std::function<void()> onLapsed {};

        /// Another life answers at the address: this one is over.
        std::function<void()> onIncarnationMismatch {};

        /// The worker has seen a higher epoch.
        std::function<void()> onFenced {};
    };

    struct Options {
        TaskExecutorAddress host {};
        int64_t startedAtMs { 0 };
        uint64_t epoch { 0 };

        /// Length of the leases that are asked for.
        Milliseconds lease { 6000 };

        /// Time-out of orders, learned from the answers of all workers. Must outlive the link.
        CallTimeout& orderTimeout;

        /// How long a worker with tasks may hold its report back; the leader may change it. Must outlive the link.
        const Milliseconds& reportWait;

        /// Shared by all links: questions to workers that have not answered lately. Each of them may need a new
        /// connection. Orders do not wait: a leader that is behind would take their answers late and send too few.
        std::shared_ptr<CallWindow> questionWindow {};
        Events events {};
    };

    /// `loop` and `taskExecutor` must outlive the link.
    WorkerSession(EventLoop&, TaskExecutor&, Options);
    ~WorkerSession();

    void start();
    void order(TaskAction);

    /// No event follows, also not from answers that have arrived already. For an owner that cannot end the link at
    /// once, because the link is the caller.
    void close() { *m_alive = false; }

    /// Ends up to this sequence are stored.
    void acknowledge(uint64_t sequence);

    /// The highest sequence of an end that was reported.
    uint64_t seenSequence() const { return m_seen; }

    /// True once this leader has the worker's lists, or its leases of earlier leaders have lapsed.
    bool isSettled() const { return m_settled; }
    bool isReachable() const { return m_reachable; }
    const TaskExecutorAddress& host() const { return m_options.host; }
    int64_t startedAtMs() const { return m_options.startedAtMs; }

private:
    void renewLease();
    void sendLeaseRenewal(std::shared_ptr<CallWindow>);
    void leaseRenewalAnswered(absl::StatusOr<RenewLeaseReply>, Instant requestSentAt);
    void renewLeaseSoon(Milliseconds delay);
    void noteAnswer(const TaskCommandReply&);
    bool checkOutcome(const TaskCommandReply&);
    void noteFailure();
    void sendNextOrder();
    void orderAnswered(const absl::StatusOr<TaskCommandReply>&);
    TaskAction takeOrder();
    bool hasQueuedStop(const StartTask&) const;
    bool cancelQueuedStart(const StopTask&);
    void refuseQueuedStarts();
    void reportOrder(const TaskAction&, const TaskCommandReply&);
    int64_t leaseEnd() const;
    void checkLapse();

    EventLoop& m_loop;
    TaskExecutor& m_taskExecutor;
    Options m_options;

    /// The worker's clock as last read, and the local time of that reading.
    std::optional<int64_t> m_clockMs;
    Instant m_clockReadAt { neverInstant };

    /// Local time by which every lease given so far has surely lapsed.
    Instant m_lapsedBy { neverInstant };
    int64_t m_latestLeaseEnd { 0 };
    uint64_t m_seen { 0 };
    uint64_t m_stored { 0 };
    uint64_t m_acknowledged { 0 };
    bool m_settled { false };
    bool m_reachable { false };
    bool m_renewingLease { false };
    bool m_leaseRenewalScheduled { false };
    bool m_busy { false };
    uint32_t m_failures { 0 };
    bool m_lapseReported { false };
    std::deque<TaskAction> m_orders;
    bool m_ordering { false };
    Instant m_orderSentAt { neverInstant };

    /// The order in progress is of a run that is over.
    bool m_discardOrder { false };
    uint32_t m_orderFailures { 0 };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
