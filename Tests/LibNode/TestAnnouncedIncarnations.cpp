#include "LateCallDay.h"
#include "TaskLeaderFixture.h"
#include <fmt/format.h>

using namespace Bergamot;

/// Entries name a later incarnation of a worker under its id: those of another writer, or true ones.
TEST_GROUP_BASE(AnnouncedIncarnations, TaskLeaderFixture)
{
    static constexpr int64_t laterMs { 60 };
    static constexpr const char* elsewhere { "elsewhere" };

    std::vector<std::string> workers;
    std::string worker;
    JobId job;
    Instant lastGrantAt { neverInstant };

    /// What becomes of calls to silent workers.
    enum class Silence : uint8_t {
        TimingOut,
        Refusing,
        Unanswered,
    };
    void failCallsOfSilentWorkers(Silence silence)
    {
        for (auto left = taskExecutor.renewLeaseCalls.size(); left > 0; --left) {
            auto call = taskExecutor.takeRenewLeaseCall();
            if (!silent.contains(call.address))
                taskExecutor.renewLeaseCalls.push_back(std::move(call));
            else if (silence == Silence::TimingOut)
                call.reply(absl::DeadlineExceededError("silent"));
            else
                call.reply(absl::UnavailableError("connection refused"));
        }
    }

    void runWith(Silence silence, Milliseconds time)
    {
        constexpr Milliseconds step { 100 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            auto grantsBefore = grants.size();
            run(step);
            for (size_t i = grantsBefore; i < grants.size(); ++i) {
                if (grants[i].first == worker)
                    lastGrantAt = clock.now();
            }
            if (silence != Silence::Unanswered)
                failCallsOfSilentWorkers(silence);
        }
    }

    std::optional<Milliseconds> timeOfStartWith(Silence silence, Instant since, Milliseconds maxTime)
    {
        for (auto end = clock.now() + maxTime; starts() == 0 && clock.now() < end;)
            runWith(silence, Milliseconds { 100 });
        if (starts() == 0)
            return std::nullopt;
        return clock.now() - since;
    }

    /// The workers of an earlier part of the test are gone, and its job has ended.
    void beginAnew()
    {
        leader.reset();
        store.put(StreamName::Progress, jobKeyPrefix + job,
            encodeValue(JobProgress { .id = job, .state = JobStage::Completed }));
        for (const auto& id : workers)
            store.put(StreamName::Workers, id, "");
        workers.clear();
        runs.clear();
        silent.clear();
        restartedAtMs.clear();
        lastGrantAt = neverInstant;
    }

    /// Has a leader start a new job on one of two workers, which accepts it and lists the run.
    void startJob()
    {
        workers = { fmt::format("a{}", epoch), fmt::format("b{}", epoch) };
        for (const auto& id : workers)
            announce(id);
        job = fmt::format("j{}", epoch);
        elect();
        run(Milliseconds { 500 });
        putJob(job);
        CHECK(timeOfStart(clock.now(), Milliseconds { 2000 }).has_value());
        auto start = taskExecutor.takeCommand();
        worker = start.address;
        runs[worker] = { { .task = start.start.task, .run = start.run } };
        start.reply(replyOf(worker));
        runWith(Silence::Unanswered, Milliseconds { 1000 });
        CHECK(lastGrantAt != neverInstant);
    }

    void announceSuccessor(const std::string& address, int64_t startedAtMs)
    {
        announce(worker);
        formats.announcements[worker].address = address;
        formats.announcements[worker].startedAtMs = startedAtMs;
    }
};

// Guards against two runs of a task at once: an entry of another writer replaces a worker that is cut off, and its
// task starts elsewhere before the lease has expired (review/8).
TEST(AnnouncedIncarnations, EntryOfAnotherWriterEndsNoLease)
{
    const std::vector<std::pair<std::string, int64_t>> entries { { "", laterMs }, { elsewhere, laterMs },
        { "", int64_t { 1 } << 40 }, { elsewhere, int64_t { 1 } << 40 } };
    for (auto silence : { Silence::TimingOut, Silence::Refusing, Silence::Unanswered }) {
        for (const auto& [address, startedAtMs] : entries) {
            beginAnew();
            startJob();
            silent = { worker, elsewhere };
            runWith(silence, Milliseconds { 1500 });
            announceSuccessor(address.empty() ? worker : address, startedAtMs);
            auto wait = timeOfStartWith(silence, lastGrantAt, Milliseconds { 10'000 });
            auto text = fmt::format("{} {} {}", static_cast<int>(silence), address, startedAtMs);
            CHECK_TRUE_TEXT(wait.has_value() || silence == Silence::Unanswered, text.c_str());
            CHECK_TRUE_TEXT(!wait || *wait >= minLeaseWait, text.c_str());
        }
    }
}

// Guards against a zone or a room that another writer names: the entry has no start time, which the worker announces.
TEST(AnnouncedIncarnations, EntryWithoutTheStartTimeOfAWorkerChangesNothing)
{
    for (const char* id : { "w1", "w2" })
        announce(id);
    elect();
    run(Milliseconds { 1000 });
    leader->setExcludedZones({ "out" });
    for (const char* id : { "w1", "w2" }) {
        formats.announcements[id].view.zone = "out";
        formats.announcements[id].startedAtMs = 0;
        store.put(StreamName::Workers, id, id);
    }
    run(Milliseconds { 1000 });
    putJob("j");
    CHECK(timeOfStart(clock.now(), Milliseconds { 2000 }).has_value());
}

// Guards against a worker that an entry of another writer names: its service is none of the configuration.
TEST(AnnouncedIncarnations, EntryOfAnUnknownServiceNamesNoWorker)
{
    announce("w1");
    elect();
    leader->setServices({ "s" });
    run(Milliseconds { 1000 });
    announce("w1");
    formats.announcements["w1"].view.service = "other";
    formats.announcements["w1"].view.draining = true;
    formats.announcements["w2"] = formats.announcements["w1"];
    formats.announcements["w2"].address = "w2";
    store.put(StreamName::Workers, "w2", "w2");
    run(Milliseconds { 1000 });
    CHECK(isStoredAsAssigned("w1"));
    CHECK_EQUAL(0, grantsTo("w2", epoch));
    putJob("j");
    CHECK(timeOfStart(clock.now(), Milliseconds { 2000 }).has_value());
    CHECK_EQUAL(1, startsOn("w1"));
}

// Guards against workers that are never used because they were listed before the configuration named their service.
TEST(AnnouncedIncarnations, WorkerIsUsedOnceItsServiceIsKnown)
{
    announce("w1");
    elect();
    leader->setServices({ "earlier" });
    run(Milliseconds { 1000 });
    putJob("j");
    run(Milliseconds { 1000 });
    CHECK_EQUAL(0, starts());
    leader->setServices({ "earlier", "s" });
    CHECK(timeOfStart(clock.now(), Milliseconds { 2000 }).has_value());
}

// Guards against tasks that wait for the lease of a worker that has started again soon and says so itself.
TEST(AnnouncedIncarnations, TaskOfAWorkerThatStartedAgainStartsSoon)
{
    constexpr Milliseconds downTime { 600 };
    constexpr Milliseconds maxWait { 1300 };
    auto longest = Milliseconds { 0 };
    for (auto silence : { Silence::TimingOut, Silence::Refusing, Silence::Unanswered }) {
        for (bool isMoved : { false, true }) {
            for (Milliseconds delay { 0 }; delay <= Milliseconds { 1000 }; delay += Milliseconds { 250 }) {
                beginAnew();
                startJob();
                silent = { worker };
                runWith(silence, downTime);
                auto restartedAt = clock.now();
                auto address = isMoved ? std::string { elsewhere } : worker;
                restartedAtMs[address] = laterMs;
                runs.clear();
                if (!isMoved)
                    silent.clear();
                runWith(silence, delay);
                announceSuccessor(address, laterMs);
                auto wait = timeOfStartWith(silence, restartedAt, Milliseconds { 10'000 });
                CHECK(wait.has_value());
                longest = std::max(longest, *wait);
            }
        }
    }
    CHECK_COMPARE(longest.count(), <=, maxWait.count());
}

// Guards against two runs of a task at once for any entries under the ids of workers that crash, return and are cut
// off.
TEST(AnnouncedIncarnations, NoTaskRunsTwiceBesideEntriesOfAnotherWriter)
{
    constexpr uint32_t lastSeed { 30 };
    constexpr uint32_t leaderChangePercent { 15 };
    for (uint32_t seed = 1; seed <= lastSeed; ++seed) {
        LateCallDay day(seed);
        day.hasForeignEntries = true;
        day.executor.latePercent = 0;
        day.executor.latePercentWhileUnreachable = 0;
        day.run(seed % 2 == 0 ? leaderChangePercent : 0);
        auto first = day.violations.empty() ? std::string {} : day.violations.front();
        CHECK_TRUE_TEXT(day.violations.empty(), fmt::format("seed {}: {}", seed, first).c_str());
    }
}
