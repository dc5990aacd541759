#pragma once

#include "FakeRecordStore.h"
#include "FenceTokens.h"
#include "MockTaskExecutor.h"
#include "NodeTestClock.h"
#include "PlainFormats.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/TaskLeader.h>
#include <LibReport/NodeMetrics.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// Leaders in virtual time that follow each other, on workers that answer lease renewals unless they are silent. All
/// workers were started at `bornMs` unless the test restarts them, use the local clock, and leave commands without an
/// answer.
class TaskLeaderFixture : public Utest {
public:
    static constexpr int64_t bornMs { 50 };

    /// The shortest time in which every lease of an earlier leader expires on the slowest worker clock.
    static constexpr Milliseconds minLeaseWait { 5103 };

    /// The longest time for which a leader holds back the tasks of its predecessors.
    static constexpr Milliseconds maxLeaseWait { 5700 };

    static WorkerIncarnation incarnationOf(const std::string& worker)
    {
        return { .id = worker, .address = worker, .startedAtMs = bornMs };
    }

    int64_t startedAtMsOf(const std::string& worker) const
    {
        auto it = restartedAtMs.find(worker);
        return it == restartedAtMs.end() ? bornMs : it->second;
    }

    void announce(const std::string& worker)
    {
        formats.announcements[worker]
            = { .view = { .id = worker, .service = "s", .zone = "z", .rack = "r", .capacity = { 4000, 8192, 0 } },
                  .address = worker,
                  .startedAtMs = startedAtMsOf(worker) };
        store.put(StreamName::Workers, worker, worker);
    }

    void putAssignedWorkers(const std::vector<std::string>& ids)
    {
        AssignedWorkers assigned;
        for (const auto& id : ids)
            assigned.workers.push_back(incarnationOf(id));
        store.put(StreamName::Progress, assignedWorkersKey, encodeValue(assigned));
    }

    void putJob(const std::string& id)
    {
        JobSpec spec { .id = id, .queue = "q", .steps = { { .size = { 1000, 128, 0 }, .estimateMs = 1000 } } };
        store.put(StreamName::Jobs, id, encodeValue(spec));
    }

    std::unique_ptr<TaskLeader> createLeader()
    {
        auto created = std::make_unique<TaskLeader>(*loop, store, taskExecutor, formats, metrics,
            TaskLeader::Options {
                .node = { .member = "m", .workerSilenceUntilRemoval = Milliseconds { 3000 }, .maxLease = maxLease },
                .epoch = epoch,
                .elections = elections,
                .haveLeadersStopped = haveLeadersStopped,
                .onFenced = [this] { ++fencedCalls; },
                .canStart =
                    [this] {
                        if (failsToPlan)
                            throw std::runtime_error("value out of range");
                        return true;
                    },
                .soleLeaderUntil = [this] { return soleLeaderUntil; },
                .fenceToken = [this, leading = epoch] { return fenceTokenAt(leading, clock.now()); } });
        created->setQueues(1, { { "q", { .service = "s", .maxAttempts = 3 } } });
        created->start();
        return created;
    }

    /// Replaces the leader, if there is one, by a leader with a higher epoch.
    void elect()
    {
        leader.reset();
        taskExecutor.renewLeaseCalls.clear();
        taskExecutor.commands.clear();
        succeed();
    }

    /// Creates a leader with a higher epoch, beside any other whose owner the test is.
    void succeed()
    {
        ++epoch;
        electedAt = clock.now();
        elections.add(epoch, electedAt, {},
            { .storesReachedWorkers = true,
                .recordsStartsOfIdleTasks = true,
                .placementsRecordedSince = placementsRecordedSince });
        leader = createLeader();
    }

    void advance(Milliseconds time)
    {
        constexpr Milliseconds step { 2 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            loop->runReady();
        }
    }

    /// Advances the clock by `time`, while the workers that are not silent answer.
    void run(Milliseconds time)
    {
        constexpr Milliseconds step { 20 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            advance(step);
            answerRenewals();
        }
    }

    TaskCommandReply replyOf(const std::string& worker) const
    {
        return { .clockMs = clock.now().time_since_epoch().count(), .startedAtMs = startedAtMsOf(worker) };
    }

    void answerRenewals()
    {
        for (auto left = taskExecutor.renewLeaseCalls.size(); left > 0; --left) {
            auto call = taskExecutor.takeRenewLeaseCall();
            if (call.request.leaseUntilMs)
                grants.emplace_back(call.address, epochOfToken(call.fenceToken));
            if (silent.contains(call.address) || cutOff.contains({ call.address, epochOfToken(call.fenceToken) })) {
                taskExecutor.renewLeaseCalls.push_back(std::move(call));
                continue;
            }
            auto& unacknowledged = ends[call.address];
            std::erase_if(
                unacknowledged, [&](const RunEnd& it) { return it.sequence <= call.request.acknowledgedSequence; });
            auto listed = unacknowledged;
            bool isPartial = listed.size() > maxListedEnds;
            listed.resize(std::min(listed.size(), maxListedEnds));
            call.reply(RenewLeaseReply { .commandReply = replyOf(call.address),
                .running = runs[call.address],
                .ended = std::move(listed),
                .endCoverage = isPartial ? RunEndCoverage::Oldest : RunEndCoverage::All });
        }
        loop->runReady();
    }

    size_t grantsTo(const std::string& worker, uint64_t byEpoch) const
    {
        return static_cast<size_t>(std::ranges::count(grants, std::pair { worker, byEpoch }));
    }

    size_t startsOn(const std::string& worker) const
    {
        return static_cast<size_t>(std::ranges::count_if(taskExecutor.commands,
            [&](const auto& it) { return it.kind == "start" && (worker.empty() || it.address == worker); }));
    }

    size_t starts() const { return startsOn({}); }

    /// Runs until a start is sent, for `maxTime` at most. Returns the time since `since`, or nullopt without a start.
    std::optional<Milliseconds> timeOfStart(Instant since, Milliseconds maxTime)
    {
        for (auto end = clock.now() + maxTime; starts() == 0 && clock.now() < end;)
            run(Milliseconds { 20 });
        if (starts() == 0)
            return std::nullopt;
        return clock.now() - since;
    }

    template <typename T> std::optional<T> storedValue(const std::string& key)
    {
        std::optional<T> result;
        for (const auto& record : store.records(StreamName::Progress)) {
            if (record.key == key)
                result = *decodeValue<T>(record.value);
        }
        return result;
    }

    bool isStoredAsAssigned(const std::string& worker)
    {
        auto assigned = storedValue<AssignedWorkers>(assignedWorkersKey).value_or(AssignedWorkers {});
        return std::ranges::find(assigned.workers, worker, &WorkerIncarnation::id) != assigned.workers.end();
    }

    void teardown() override { leader.reset(); }

    uint64_t epoch { 7 };

    /// What the claims of leaders state.
    uint64_t placementsRecordedSince { 1 };

    /// The longest lease that workers grant.
    Milliseconds maxLease { 6000 };
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    FakeRecordStore store { *loop };
    MockTaskExecutor taskExecutor;
    PlainFormats formats;
    NodeMetrics metrics;
    int fencedCalls { 0 };

    /// Each plan of the leader ends with an exception.
    bool failsToPlan { false };
    Instant electedAt { neverInstant };
    ElectionHistory elections;

    /// Empty unless the test lets leaders stop: no elections are known before the first leader of the test.
    std::function<bool(uint64_t, uint64_t)> haveLeadersStopped;
    Instant soleLeaderUntil { Instant::max() };
    std::set<std::string> silent;

    /// The start times of workers that have been restarted.
    std::map<std::string, int64_t> restartedAtMs;

    /// The runs that the workers list.
    std::map<std::string, std::vector<RunReport>> runs;

    /// The run ends that the workers report.
    std::map<std::string, std::vector<RunEnd>> ends;

    /// Number of run ends in a report. The workers report later ones once the earlier ones are acknowledged.
    size_t maxListedEnds { std::numeric_limits<size_t>::max() };

    /// Workers that do not answer the leader of the epoch.
    std::set<std::pair<std::string, uint64_t>> cutOff;

    /// The worker and the leader's epoch of each lease renewal seen so far.
    std::vector<std::pair<std::string, uint64_t>> grants;
    std::unique_ptr<TaskLeader> leader;
};

}
