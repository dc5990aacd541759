#include "CrashDay.h"
#include <CppUTest/TestHarness.h>
#include <LibCore/Logger.h>
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <thread>

using namespace Bergamot;

static constexpr uint32_t seeds { 10 };

TEST_GROUP(JobEnds)
{
    std::FILE* log { std::tmpfile() };

    void setup() override { Logger::the().setStream(log); }

    void teardown() override
    {
        Logger::the().setStream(stderr);
        std::fclose(log);
    }

    bool hasLogged(const std::string& text)
    {
        std::rewind(log);
        std::array<char, 4096> line {};
        while (std::fgets(line.data(), line.size(), log)) {
            if (std::string(line.data()).find(text) != std::string::npos)
                return true;
        }
        return false;
    }

    static double countedEnds(const CrashDay& day)
    {
        double ends = 0;
        for (const auto& family : day.metrics.collect()) {
            if (family.name != "bergamot_node_job_ends_total")
                continue;
            for (const auto& metric : family.metric)
                ends += metric.counter.value;
        }
        return ends;
    }

    static std::ptrdiff_t storedEnds(CrashDay & day, const JobId& id)
    {
        return std::ranges::count_if(
            day.storedProgress(id), [](const JobProgress& it) { return it.state >= JobStage::Completed; });
    }

    /// Plays a job with several tasks that crash their workers, at some times while the store loses replies.
    static void play(CrashDay & day)
    {
        day.crashingJobs["bad"] = { .timeToCrash = Milliseconds { 20 + day.pick(300) } };
        day.addWorkers(60);
        day.putJob("good", 2, 1000);
        day.putJob("bad", 12, 60000);
        day.lead();
        for (int i = 0; i < 60; ++i) {
            day.crashingJobs["bad"].downTime = Milliseconds { 300 + day.pick(6000) };
            if (day.pick(4) == 0)
                day.injectStoreFault(FakeRecordStore::Fault::LosingReplies, Milliseconds { 50 + day.pick(1500) });
            day.advance(Milliseconds { 500 });
        }
        day.advance(Milliseconds { 10000 });
    }
};

// Guards against an end that is stored, counted and logged again for each crash that is confirmed after it (issue 45).
TEST(JobEnds, EndOfAJobIsStoredAndCountedOnce)
{
    for (uint32_t seed = 1; seed <= seeds; ++seed) {
        CrashDay day(seed);
        play(day);
        auto text = fmt::format("seed {}", seed);
        CHECK_TEXT(day.storedState("bad") == JobStage::Failed, text.c_str());
        LONGS_EQUAL_TEXT(1, storedEnds(day, "bad"), text.c_str());
        LONGS_EQUAL_TEXT(1, storedEnds(day, "good"), text.c_str());
        DOUBLES_EQUAL_TEXT(2, countedEnds(day), 0, text.c_str());
    }
}

// Guards against an end that is logged without its queue and its crashes, because the details of the job were freed
// between two records of it (issue 45).
TEST(JobEnds, EndOfAJobIsLoggedWithItsQueue)
{
    // The logger limits the lines of a second, and earlier tests may have used them.
    std::this_thread::sleep_for(std::chrono::seconds { 1 });
    for (uint32_t seed = 1; seed <= seeds; ++seed) {
        CrashDay day(seed);
        play(day);
    }
    CHECK(hasLogged("event=job_ended job=bad queue=q"));
    CHECK(!hasLogged("event=job_ended job=bad queue=\"\""));
}

// Guards against a successor or a caller that is told another state than the one that was stored first (issue 45).
TEST(JobEnds, SuccessorShowsTheEndThatWasStoredFirst)
{
    for (uint32_t seed = 1; seed <= seeds; ++seed) {
        CrashDay day(seed);
        play(day);
        auto progress = day.storedProgress("bad");
        auto first
            = std::ranges::find_if(progress, [](const JobProgress& it) { return it.state >= JobStage::Completed; });
        CHECK(first != progress.end());
        CHECK(std::all_of(first, progress.end(), [&](const JobProgress& it) { return it == *first; }));
        auto endedAs = first->state;
        day.killLeader(Milliseconds { 1000 });
        day.advance(Milliseconds { 8000 });
        std::vector<JobQueryReply> replies;
        auto record = [&](const JobQueryReply& reply) { replies.push_back(reply); };
        day.leader->handleQuery({ .kind = JobQueryKind::State, .subject = "bad" }, record);
        day.leader->handleQuery({ .kind = JobQueryKind::Cancel, .subject = "bad" }, record);
        CHECK_EQUAL(2, replies.size());
        for (const auto& reply : replies) {
            CHECK(reply.status == JobQueryStatus::Found);
            CHECK(reply.state == endedAs);
        }
        CHECK(day.storedProgress("bad").size() == progress.size());
    }
}
