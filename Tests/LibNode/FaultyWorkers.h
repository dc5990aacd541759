#pragma once

#include <LibCore/Resources.h>
#include <LibHttp/ConnectionRefused.h>
#include <LibHttp/EventLoop.h>
#include <LibPlatform/TaskExecutor.h>
#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace Bergamot {

/// Workers in virtual time that execute tasks under a lease, with random faults of the network and of the workers. Run
/// ends are listed until they are acknowledged. The members of a gang make progress only while all of them run.
class FaultyWorkers final : public TaskExecutor {
public:
    struct TaskShape {
        Milliseconds duration { 0 };
        Resources size {};
        bool longRunning { false };

        /// Number of members; 0 for a task outside of a gang.
        uint32_t gangSize { 0 };

        /// Time from the start to the crash of the worker; not set for a task that does no harm.
        std::optional<Milliseconds> timeToCrash {};

        /// How long the worker is down after the crash, and whether its host is then silent and refuses nothing.
        Milliseconds downTime { 3000 };
        bool isSilentAfterCrash { false };
    };

    struct Run {
        uint64_t run { 0 };
        Instant startedAt { neverInstant };
        Instant idleSince { neverInstant };
        Milliseconds done { 0 };

        /// The start was meant for a former incarnation, and was executed late by one that no leader knew of, or that
        /// no call with a newer fencing token had reached yet although the run had been closed on the former one.
        bool isUnpreventable { false };
    };

    struct Worker {
        int64_t startedAtMs { 1 };
        uint64_t fenceToken { 0 };
        int64_t leaseUntilMs { 0 };
        uint64_t lastSequence { 0 };
        std::map<TaskRef, Run> runs {};
        std::map<TaskRef, uint64_t> ended {};
        std::vector<RunEnd> ends {};

        /// Until these times the worker is down, is cut off, is cut off by a network that refuses connections, breaks
        /// connections, or is slow to answer.
        Instant downUntil { neverInstant };
        Instant cutUntil { neverInstant };
        Instant refusedUntil { neverInstant };
        Instant resetUntil { neverInstant };
        Instant slowUntil { neverInstant };
        bool isDown { false };
        bool isSilentWhileDown { false };

        /// When the incarnation first replied or was announced.
        Instant knownAt { Instant::max() };

        /// The highest run of each task that has ended or been stopped on earlier incarnations.
        std::map<TaskRef, uint64_t> closedBefore {};

        /// Local time at which the worker's clock read zero.
        Instant clockZero {};

        /// Rate of the worker's clock.
        double clockRate { 1 };
    };

    FaultyWorkers(EventLoop& loop, std::mt19937& random)
        : m_loop(loop)
        , m_random(random)
    {
    }

    std::map<std::string, Worker> workers;
    std::function<TaskShape(const TaskRef&)> shapeOf;
    std::function<void(const std::string&)> onBack;

    /// Called when a worker begins a run, and when a run has crashed its worker.
    std::function<void(const TaskRef&, uint64_t run)> onStart { [](const TaskRef&, uint64_t) {} };
    std::function<void(const TaskRef&, uint64_t run)> onCrash { [](const TaskRef&, uint64_t) {} };

    /// How a run ends that has run for its whole duration.
    std::function<RunOutcome(const TaskRef&, uint64_t run)> outcomeOf { [](const TaskRef&, uint64_t) {
        return RunOutcome::Done;
    } };

    /// Called when a run has ended, and when its end has been acknowledged.
    std::function<void(const RunEnd&)> onEnd { [](const RunEnd&) {} };
    std::function<void(const RunEnd&)> onAcknowledged { [](const RunEnd&) {} };

    /// Called for each run end in a list that has reached its caller.
    std::function<void(const RunEnd&)> onListed { [](const RunEnd&) {} };

    /// Tasks that have ended as done, as far as the ends were not lost in a crash before they were acknowledged.
    std::set<TaskRef> done;
    Resources capacity { 8000, 32000, 0 };

    /// When the end as done of each task was acknowledged.
    std::map<TaskRef, Instant> acknowledged;

    /// Whether the clock of each later incarnation starts at zero.
    bool areClocksReset { false };

    /// Longest lease; longer ones are shortened to it. If it is set, a start extends the lease also when it is refused
    /// as superseded or for lack of room.
    std::optional<Milliseconds> maxLease {};

    /// Whether replies other than lists of runs carry the start time of the incarnation.
    bool doCommandRepliesNameIncarnation { true };

    /// Shares of the calls, in percent, that get no reply and are executed up to `maxCallDelay` later by the
    /// incarnation that is up then: of those to a worker that is down or cut off, and of the others.
    uint32_t latePercentWhileUnreachable { 0 };
    uint32_t latePercent { 0 };
    static constexpr Milliseconds maxCallDelay { 12000 };

    /// Longest time that a list of runs is under way. A worker that ends meanwhile cuts off this share of its lists, in
    /// percent.
    Milliseconds maxReplyDelay { 0 };
    uint32_t cutOffReplyPercent { 0 };

    /// Number of late calls for a former incarnation that have reached a later one.
    size_t misdirectedCalls { 0 };

    /// Number of run ends in a report. Later ones are reported once the earlier ones are acknowledged.
    size_t maxListedEnds { std::numeric_limits<size_t>::max() };

    /// Share of the calls that break a connection while a worker resets connections, in percent.
    static constexpr uint32_t resetPercent { 60 };

    void start(const TaskExecutorAddress& executor, const TaskCommandContext& context, const StartTaskCommand& command,
        Callback<TaskCommandReply> callback) override
    {
        call<TaskCommandReply>(executor.address, context.fenceToken, context.timeout, callback,
            [this, command](Worker& worker) { return executeStart(worker, command); });
    }

    void stop(const TaskExecutorAddress& executor, const TaskCommandContext& context, const TaskRef& task, uint64_t run,
        Callback<TaskCommandReply> callback) override
    {
        call<TaskCommandReply>(
            executor.address, context.fenceToken, context.timeout, callback, [this, task, run](Worker& worker) {
                auto it = worker.runs.find(task);
                if (it != worker.runs.end() && it->second.run <= run)
                    end(worker, task, RunOutcome::Stopped);
                worker.ended[task] = std::max(worker.ended[task], run);
                return reply(worker, TaskCommandOutcome::Accepted);
            });
    }

    void throttle(const TaskExecutorAddress& executor, const TaskCommandContext& context, const TaskRef&, uint64_t,
        uint32_t, Callback<TaskCommandReply> callback) override
    {
        call<TaskCommandReply>(executor.address, context.fenceToken, context.timeout, callback,
            [this](Worker& worker) { return reply(worker, TaskCommandOutcome::Accepted); });
    }

    void renewLease(const TaskExecutorAddress& executor, uint64_t fenceToken, const RenewLeaseRequest& request,
        Callback<RenewLeaseReply> callback) override
    {
        constexpr Milliseconds timeoutSlack { 1000 };
        auto address = executor.address;
        call<RenewLeaseReply>(
            address, fenceToken, request.wait + timeoutSlack, callback,
            [this, request](Worker& worker) {
                extendLease(worker, request.leaseUntilMs.value_or(0));
                acknowledge(worker, request.acknowledgedSequence);
                RenewLeaseReply result { .commandReply = reply(worker, TaskCommandOutcome::Accepted) };
                result.commandReply.startedAtMs = worker.startedAtMs;
                return result;
            },
            request.wait);
    }

    /// Ends runs, breaks gangs and lets leases expire. Called at each tick.
    void tick(Milliseconds passed)
    {
        for (auto& [id, worker] : workers) {
            if (worker.isDown && m_loop.now() >= worker.downUntil) {
                auto startedAtMs = worker.startedAtMs;
                auto closedBefore = std::move(worker.closedBefore);
                for (const auto& [task, run] : worker.ended)
                    closedBefore[task] = std::max(closedBefore[task], run);
                worker = { .startedAtMs = startedAtMs + 1, .closedBefore = std::move(closedBefore) };
                if (areClocksReset)
                    worker.clockZero = m_loop.now();
                onBack(id);
            }
            if (clockMs(worker) >= worker.leaseUntilMs) {
                while (!worker.runs.empty())
                    end(worker, TaskRef(worker.runs.begin()->first), RunOutcome::LeaseExpired);
            }
        }
        std::map<std::pair<TaskRef, uint64_t>, uint32_t> members;
        for (const auto& [id, worker] : workers) {
            for (const auto& [task, run] : worker.runs) {
                if (shapeOf(task).gangSize > 0)
                    ++members[{ gangOf(task), run.run }];
            }
        }
        for (auto& [id, worker] : workers)
            advanceRuns(worker, passed, members);
    }

    void crash(const std::string& id, Milliseconds downTime, bool isSilent = false)
    {
        auto& worker = workers[id];
        if (worker.isDown)
            return;
        takeDown(worker, downTime);
        worker.isSilentWhileDown = isSilent;
    }

    /// Ends the worker for good, as after a planned shutdown.
    void leave(const std::string& id, bool isSilent)
    {
        constexpr Milliseconds forGood { 3'600'000 };
        crash(id, forGood, isSilent);
    }

    /// Ends the run of the task on the worker by its own fault.
    void fail(const std::string& id, const TaskRef& task) { end(workers.at(id), task, RunOutcome::Failed); }

    size_t runsOf(const TaskRef& task) const
    {
        return static_cast<size_t>(
            std::ranges::count_if(workers, [&](const auto& it) { return it.second.runs.contains(task); }));
    }

private:
    void takeDown(Worker& worker, Milliseconds downTime)
    {
        worker.isDown = true;
        worker.isSilentWhileDown = false;
        worker.downUntil = m_loop.now() + downTime;
        worker.runs.clear();
        for (const auto& it : worker.ends) {
            if (it.outcome == RunOutcome::Done)
                done.erase(it.task);
        }
        worker.ends.clear();
    }

    int64_t clockMs(const Worker& worker) const
    {
        return static_cast<int64_t>(static_cast<double>((m_loop.now() - worker.clockZero).count()) * worker.clockRate);
    }

    void extendLease(Worker& worker, int64_t untilMs)
    {
        if (maxLease)
            untilMs = std::min(untilMs, clockMs(worker) + maxLease->count());
        worker.leaseUntilMs = std::max(worker.leaseUntilMs, untilMs);
    }

    void acknowledge(Worker& worker, uint64_t sequence)
    {
        std::erase_if(worker.ends, [&](const RunEnd& it) {
            if (it.sequence > sequence)
                return false;
            if (it.outcome == RunOutcome::Done)
                acknowledged.emplace(it.task, m_loop.now());
            onAcknowledged(it);
            return true;
        });
    }

    TaskRef gangOf(const TaskRef& task) const
    {
        return shapeOf(task).gangSize > 0 ? TaskRef { task.job, task.occurrence, task.step, 0 } : task;
    }

    void advanceRuns(
        Worker& worker, Milliseconds passed, const std::map<std::pair<TaskRef, uint64_t>, uint32_t>& members)
    {
        constexpr Milliseconds maxIncompleteTime { 2500 };
        std::vector<std::pair<TaskRef, RunOutcome>> over;
        for (auto& [task, run] : worker.runs) {
            auto shape = shapeOf(task);
            bool isComplete = shape.gangSize == 0 || members.at({ gangOf(task), run.run }) == shape.gangSize;
            if (!isComplete) {
                if (run.idleSince == neverInstant)
                    run.idleSince = m_loop.now();
                if (m_loop.now() - run.idleSince >= maxIncompleteTime)
                    over.emplace_back(task, run.done.count() > 0 ? RunOutcome::GangBroken : RunOutcome::GangIncomplete);
                continue;
            }
            run.idleSince = neverInstant;
            run.done += passed;
            if (!shape.longRunning && run.done >= shape.duration)
                over.emplace_back(task, outcomeOf(task, run.run));
        }
        for (const auto& [task, outcome] : over)
            end(worker, task, outcome);
        auto cause = std::ranges::find_if(worker.runs, [&](const auto& it) {
            auto shape = shapeOf(it.first);
            return shape.timeToCrash && m_loop.now() - it.second.startedAt >= *shape.timeToCrash;
        });
        if (cause == worker.runs.end())
            return;
        auto [task, run] = *cause;
        auto shape = shapeOf(task);
        takeDown(worker, shape.downTime);
        worker.isSilentWhileDown = shape.isSilentAfterCrash;
        onCrash(task, run.run);
    }

    void end(Worker& worker, const TaskRef& task, RunOutcome outcome)
    {
        auto run = worker.runs.at(task).run;
        worker.runs.erase(task);
        worker.ended[task] = std::max(worker.ended[task], run);
        if (outcome == RunOutcome::Done)
            done.insert(task);
        worker.ends.push_back(
            { .sequence = ++worker.lastSequence, .task = task, .run = run, .outcome = outcome, .checkpoint = {} });
        onEnd(worker.ends.back());
    }

    TaskCommandReply reply(const Worker& worker, TaskCommandOutcome outcome) const
    {
        return { .outcome = outcome,
            .clockMs = clockMs(worker),
            .startedAtMs = doCommandRepliesNameIncarnation ? worker.startedAtMs : 0 };
    }

    bool isUnpreventable(const Worker& worker, const StartTaskCommand& command) const
    {
        // A first call and its repeat may be lost.
        constexpr Milliseconds maxTimeToReach { 2500 };
        if (worker.knownAt == Instant::max())
            return true;
        auto it = worker.closedBefore.find(command.task);
        return it != worker.closedBefore.end() && it->second >= command.run
            && m_loop.now() - worker.knownAt <= maxTimeToReach;
    }

    TaskCommandReply executeStart(Worker& worker, const StartTaskCommand& command)
    {
        if (maxLease)
            extendLease(worker, command.leaseUntilMs);
        auto it = worker.runs.find(command.task);
        if (it != worker.runs.end() && it->second.run == command.run)
            return reply(worker, TaskCommandOutcome::Accepted);
        if (it != worker.runs.end() && it->second.run > command.run)
            return reply(worker, TaskCommandOutcome::Superseded);
        if (worker.ended.contains(command.task) && worker.ended[command.task] >= command.run)
            return reply(worker, TaskCommandOutcome::Superseded);
        if (command.leaseUntilMs <= clockMs(worker))
            return reply(worker, TaskCommandOutcome::LeaseExpired);
        auto used = shapeOf(command.task).size;
        for (const auto& [task, run] : worker.runs)
            used = used + shapeOf(task).size;
        if (!used.fitsIn(capacity))
            return reply(worker, TaskCommandOutcome::InsufficientResources);
        extendLease(worker, command.leaseUntilMs);
        worker.runs[command.task] = { .run = command.run,
            .startedAt = m_loop.now(),
            .isUnpreventable = m_executesCallForFormerIncarnation && isUnpreventable(worker, command) };
        onStart(command.task, command.run);
        return reply(worker, TaskCommandOutcome::Accepted);
    }

    static TaskCommandReply& commandReplyOf(TaskCommandReply& reply) { return reply; }
    static TaskCommandReply& commandReplyOf(RenewLeaseReply& reply) { return reply.commandReply; }
    void list(TaskCommandReply&, const Worker&) const { }

    void list(RenewLeaseReply& reply, const Worker& worker) const
    {
        for (const auto& [task, run] : worker.runs) {
            reply.running.push_back({ .task = task,
                .run = run.run,
                .progressPercent = static_cast<uint32_t>(100 * run.done / shapeOf(task).duration) });
        }
        auto listed = std::min(worker.ends.size(), maxListedEnds);
        reply.ended.assign(worker.ends.begin(), worker.ends.begin() + static_cast<ptrdiff_t>(listed));
        reply.endCoverage = listed < worker.ends.size() ? RunEndCoverage::Oldest : RunEndCoverage::All;
    }

    template <typename Reply>
    void call(const std::string& address, uint64_t fenceToken, Milliseconds timeout, Callback<Reply> callback,
        std::function<Reply(Worker&)> execute, Milliseconds wait = Milliseconds { 0 })
    {
        // A call that is lost on its way, or whose reply is lost.
        auto& worker = workers.at(address);
        auto now = m_loop.now();
        bool isCut = now < worker.cutUntil || (worker.isDown && worker.isSilentWhileDown);
        if (isNextCallLate(isCut || worker.isDown)) {
            m_loop.callAfter(Milliseconds { m_random() % maxCallDelay.count() },
                [this, address, fenceToken, execute, startedAtMs = worker.startedAtMs] {
                    executeLate<Reply>(address, fenceToken, execute, startedAtMs);
                });
            return m_loop.callAfter(timeout, [callback] { callback(absl::DeadlineExceededError("executed late")); });
        }
        bool breaks = now < worker.resetUntil && m_random() % 100 < resetPercent;
        bool isDelivered = !isCut && (!breaks || m_random() % 2 == 0);
        auto latency = Milliseconds { 2 + m_random() % 6 };
        if (now < worker.slowUntil)
            latency += Milliseconds { m_random() % 1500 };
        if ((worker.isDown || now < worker.refusedUntil) && !isCut)
            return m_loop.callAfter(Milliseconds { 2 }, [callback] { callback(connectionRefusedError("refused")); });
        if (!isDelivered) {
            auto failsAfter = isCut ? timeout : Milliseconds { 3 };
            return m_loop.callAfter(failsAfter, [callback, isCut] {
                callback(isCut ? absl::DeadlineExceededError("cut off") : absl::UnavailableError("reset"));
            });
        }
        m_loop.callAfter(latency, [this, address, fenceToken, timeout, callback, execute, wait, breaks, now] {
            auto& worker = workers.at(address);
            if (worker.isDown || m_loop.now() < worker.refusedUntil)
                return callback(absl::UnavailableError("reset"));
            Reply result;
            if (fenceToken < worker.fenceToken) {
                commandReplyOf(result) = reply(worker, TaskCommandOutcome::Fenced);
            } else {
                worker.fenceToken = fenceToken;
                result = execute(worker);
            }
            bool isLate = m_loop.now() - now >= timeout;
            if (breaks)
                return callback(absl::UnavailableError("reset"));
            if (isLate)
                return callback(absl::DeadlineExceededError("late"));
            if (wait.count() == 0 || !worker.ends.empty())
                return answer<Reply>(address, result, callback, now + timeout);
            poll<Reply>(address, result, callback, m_loop.now() + wait, now + timeout, worker.startedAtMs);
        });
    }

    bool isNextCallLate(bool isUnreachable)
    {
        auto percent = isUnreachable ? latePercentWhileUnreachable : latePercent;
        return percent > 0 && m_random() % 100 < percent;
    }

    /// A worker that is cut off has received the call before.
    template <typename Reply>
    void executeLate(const std::string& address, uint64_t fenceToken, const std::function<Reply(Worker&)>& execute,
        int64_t calledStartedAtMs)
    {
        auto& worker = workers.at(address);
        if (worker.isDown)
            return;
        bool isMisdirected = worker.startedAtMs != calledStartedAtMs;
        misdirectedCalls += isMisdirected ? 1 : 0;
        if (fenceToken < worker.fenceToken)
            return;
        worker.fenceToken = fenceToken;
        m_executesCallForFormerIncarnation = isMisdirected;
        execute(worker);
        m_executesCallForFormerIncarnation = false;
    }

    template <typename Reply>
    void poll(const std::string& address, Reply result, Callback<Reply> callback, Instant until, Instant deadline,
        int64_t startedAtMs)
    {
        constexpr Milliseconds pollInterval { 10 };
        auto& worker = workers.at(address);
        if (worker.isDown || worker.startedAtMs != startedAtMs || m_loop.now() < worker.refusedUntil)
            return callback(absl::UnavailableError("reset"));
        if (m_loop.now() >= until || !worker.ends.empty())
            return answer<Reply>(address, result, callback, deadline);
        m_loop.callAfter(pollInterval, [this, address, result, callback, until, deadline, startedAtMs] {
            poll<Reply>(address, result, callback, until, deadline, startedAtMs);
        });
    }

    template <typename Reply>
    void answer(const std::string& address, Reply result, Callback<Reply> callback, Instant deadline)
    {
        auto& worker = workers.at(address);
        if (m_loop.now() < worker.cutUntil) {
            auto delay = std::max(Milliseconds { 0 }, deadline - m_loop.now());
            return m_loop.callAfter(delay, [callback] { callback(absl::DeadlineExceededError("cut off")); });
        }
        worker.knownAt = std::min(worker.knownAt, m_loop.now());
        auto& commandReply = commandReplyOf(result);
        commandReply.clockMs = clockMs(worker);
        if (commandReply.outcome == TaskCommandOutcome::Accepted)
            list(result, worker);
        if (maxReplyDelay.count() == 0)
            return deliver(result, callback);
        bool isCutOff = m_random() % 100 < cutOffReplyPercent;
        auto delay = Milliseconds { m_random() % maxReplyDelay.count() };
        bool isLate = m_loop.now() + delay >= deadline;
        m_loop.callAfter(isLate ? deadline - m_loop.now() : delay, [this, address, result, callback, isCutOff, isLate] {
            if (isLate)
                return callback(absl::DeadlineExceededError("late"));
            if (isCutOff && workers.at(address).isDown)
                return callback(absl::UnavailableError("reset"));
            deliver(result, callback);
        });
    }

    template <typename Reply> void deliver(const Reply& result, const Callback<Reply>& callback)
    {
        callback(result);
        if constexpr (std::is_same_v<Reply, RenewLeaseReply>)
            std::ranges::for_each(result.ended, onListed);
    }

    EventLoop& m_loop;
    std::mt19937& m_random;
    bool m_executesCallForFormerIncarnation { false };
};

}
