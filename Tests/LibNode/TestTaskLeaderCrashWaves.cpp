#include "CrashWaveDay.h"
#include <CppUTest/TestHarness.h>
#include <cstdint>

using namespace Bergamot;

// Tasks that crash their workers beside waves of crashes for another cause, across changes of leader.

static void checkNoInnocentJobIsGivenUp(CrashWaveDay& wave)
{
    auto text = fmt::format("seed {}", wave.options.seed);
    for (const auto& id : wave.innocentJobs)
        CHECK_TEXT(wave.day.storedState(id) != JobStage::Failed, text.c_str());
}

static void checkCauses(CrashWaveDay& wave)
{
    constexpr size_t maxStartsAfterThirdCrash { 2 };
    for (const auto& [id, cause] : wave.causes) {
        auto text = fmt::format("seed {} {}:{}", wave.options.seed, id, cause.events);
        CHECK_TEXT(cause.startsAfterThirdCrash <= maxStartsAfterThirdCrash, text.c_str());
        CHECK_TEXT(wave.day.storedState(id) == JobStage::Failed, text.c_str());
    }
}

static void play(CrashWaveDay::Options options)
{
    CrashWaveDay wave(options);
    wave.play();
    checkCauses(wave);
    checkNoInnocentJobIsGivenUp(wave);
}

TEST_GROUP(TaskLeaderCrashWaves) {};

// Guards against a cause that is started three times more after three workers crashed under it, and against harmless
// jobs that are given up, while waves go on (BUDGET, issue 29).
TEST(TaskLeaderCrashWaves, CausesAreGivenUpInTime)
{
    constexpr uint32_t seeds { 40 };
    for (uint32_t seed = 1; seed <= seeds; ++seed)
        play({ .seed = seed, .maxKills = 0, .maxTimeToCrashMs = 700, .hasSilentCauses = false });
}

// Guards against the same while leaders are killed.
TEST(TaskLeaderCrashWaves, CausesAreGivenUpInTimeByLeadersThatAreKilled)
{
    constexpr uint32_t seeds { 60 };
    for (uint32_t seed = 1; seed <= seeds; ++seed)
        play({ .seed = seed, .maxTimeToCrashMs = 700, .hasSilentCauses = false });
}

// Guards against a sixth start of a cause whose first crash has no record, because a killed leader hid it.
TEST(TaskLeaderCrashWaves, CauseWithAHiddenCrashIsGivenUpInTime)
{
    constexpr uint32_t seedWithHiddenCrash { 29 };
    play({ .seed = seedWithHiddenCrash, .maxTimeToCrashMs = 700, .hasSilentCauses = false });
}

// Guards against harmless jobs that are given up by a leader that does not know of the waves that an earlier one saw
// (LOST); all kinds of causes.
TEST(TaskLeaderCrashWaves, NoInnocentJobIsGivenUp)
{
    constexpr uint32_t seedsThatFailed[] { 181, 299, 336 };
    for (auto seed : seedsThatFailed) {
        CrashWaveDay wave({ .seed = seed });
        wave.play();
        checkNoInnocentJobIsGivenUp(wave);
    }
}
