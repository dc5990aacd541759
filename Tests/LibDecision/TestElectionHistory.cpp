#include <CppUTest/TestHarness.h>
#include <LibDecision/ElectionHistory.h>

using namespace Bergamot;
using namespace std::chrono_literals;

static constexpr Instant start { 100s };

TEST_GROUP(ElectionHistory) { ElectionHistory elections; };

// Guards against trusting a record of a leader that was not the last one, because a later election was missed.
TEST(ElectionHistory, PredecessorIsUnknownAfterAGap)
{
    elections.add(3, start);
    CHECK_FALSE(elections.predecessorOf(3).has_value());
    elections.add(8, start + 2s);
    CHECK_EQUAL(3, elections.predecessorOf(8).value_or(0));
    CHECK_FALSE(elections.predecessorOf(9).has_value());
    elections.clear();
    elections.add(9, start + 4s);
    CHECK_FALSE(elections.predecessorOf(9).has_value());
    CHECK_FALSE(elections.electedBy(10).has_value());
}

// Guards against counting from before an election: a time that was learned later, or that of an earlier election.
TEST(ElectionHistory, TimeIsThatOfTheFirstKnownElectionSince)
{
    elections.add(3, start);
    elections.add(8, start + 2s);
    elections.add(8, start + 5s);
    CHECK(elections.electedBy(3) == start);
    CHECK(elections.electedBy(4) == start + 2s);
    CHECK(elections.electedBy(8) == start + 2s);
    CHECK_FALSE(elections.electedBy(9).has_value());
}

// Guards against a wait that begins anew with each process, since a new one reads all elections at once, and against
// one that ends early by a fast clock of another host.
TEST(ElectionHistory, TimeFollowsFromTheAgesThatRecordsState)
{
    elections.add(3, start);
    elections.add(8, start, {}, { .sincePredecessor = 1030ms });
    elections.add(9, start, {}, { .sincePredecessor = 2060ms });
    elections.electedBefore(9, start, 515ms);
    elections.electedBefore(9, start + 1s, 309ms);
    elections.electedBefore(7, start, 9s);
    CHECK(elections.electedBy(9) == start - 500ms);
    CHECK(elections.electedBy(8) == start - 2500ms);
    CHECK(elections.electedBy(3) == start - 3500ms);
    elections.electedBefore(3, start, 5150ms);
    CHECK(elections.electedBy(3) == start - 5s);
    CHECK(elections.electedBy(8) == start - 2500ms);
}

// Guards against trusting a record that a leader of an older version, or one that was missed, does not keep to.
TEST(ElectionHistory, RecordsOutliveOnlyLeadersThatKeepToThem)
{
    elections.add(3, start);
    elections.add(8, start, {}, { .storesReachedWorkers = true });
    elections.add(9, start);
    CHECK(elections.doLeadersStoreReachedWorkers(3, 9));
    CHECK(elections.doLeadersStoreReachedWorkers(8, 9));
    CHECK_FALSE(elections.doLeadersStoreReachedWorkers(2, 9));
    CHECK_FALSE(elections.doLeadersStoreReachedWorkers(3, 10));
    CHECK_FALSE(elections.doLeadersStoreReachedWorkers(9, 9));
    elections.add(12, start);
    CHECK_FALSE(elections.doLeadersStoreReachedWorkers(3, 12));
    CHECK_FALSE(elections.doLeadersStoreReachedWorkers(8, 12));
    CHECK(elections.doLeadersStoreReachedWorkers(9, 12));
}

// Guards against taking a task for idle that a leader of an older version may have started.
TEST(ElectionHistory, IdleTasksAreReliableOnlyUnderLeadersThatRecordStarts)
{
    elections.add(3, start);
    elections.add(8, start, {}, { .recordsStartsOfIdleTasks = true });
    elections.add(9, start, {}, { .storesReachedWorkers = true });
    elections.add(12, start);
    CHECK(elections.doLeadersRecordStartsOfIdleTasks(3, 9));
    CHECK(elections.doLeadersRecordStartsOfIdleTasks(9, 12));
    CHECK_FALSE(elections.doLeadersRecordStartsOfIdleTasks(8, 12));
    CHECK_FALSE(elections.doLeadersRecordStartsOfIdleTasks(0, 9));
}

// Guards against relying on the placement of a task that a leader of an older version may have started elsewhere.
TEST(ElectionHistory, PlacementsHoldSinceTheEpochThatTheLatestClaimStates)
{
    CHECK_EQUAL(1, elections.placementsRecordedSince().value_or(0));
    elections.add(3, start, {}, { .placementsRecordedSince = 1 });
    CHECK(elections.arePlacementsRecordedSince(0));
    elections.add(8, start);
    CHECK_FALSE(elections.placementsRecordedSince().has_value());
    CHECK_FALSE(elections.arePlacementsRecordedSince(3));
    elections.add(9, start, {}, { .placementsRecordedSince = 9 });
    CHECK_FALSE(elections.arePlacementsRecordedSince(8));
    CHECK(elections.arePlacementsRecordedSince(9));
    elections.add(12, start, {}, { .placementsRecordedSince = 9 });
    CHECK(elections.arePlacementsRecordedSince(9));
    elections.clear();
    CHECK_FALSE(elections.placementsRecordedSince().has_value());
    CHECK_FALSE(elections.arePlacementsRecordedSince(12));
}

// Guards against a history that grows with each election, and against dropping the newest elections.
TEST(ElectionHistory, OldElectionsAreForgotten)
{
    constexpr uint64_t elected { 1000 };
    for (uint64_t epoch = 1; epoch <= elected; ++epoch)
        elections.add(epoch, start + Milliseconds { static_cast<int64_t>(epoch) });
    CHECK(elections.electedBy(1) > start + Milliseconds { 1 });
    CHECK_EQUAL(elected - 1, elections.predecessorOf(elected).value_or(0));
}

static const LeaderProcess firstProcess { "m1", 11, "a1" };
static const LeaderProcess restartedProcess { "m1", 12, "a1" };

// Guards against a wait for a leader whose host runs another process now, and against trusting a process that may have
// ended before the election.
TEST(ElectionHistory, LeaderHasStoppedOnceALaterProcessOfItsHostIsSeen)
{
    elections.add(5, start, firstProcess);
    elections.processSeenAfter(4, restartedProcess);
    elections.processSeenAfter(9, firstProcess);
    elections.processSeenAfter(9, { "m1", 12, "a2" });
    elections.processSeenAfter(9, { "m2", 12, "a1" });
    CHECK_FALSE(elections.haveLeadersStopped(5, 6));
    CHECK(elections.mayLeadEarlierProcessOf(restartedProcess));
    elections.processSeenAfter(5, restartedProcess);
    CHECK(elections.haveLeadersStopped(5, 6));
    CHECK_FALSE(elections.mayLeadEarlierProcessOf(restartedProcess));
}

// Guards against one leader that counts as stopped because another one has said so.
TEST(ElectionHistory, LeaderHasStoppedOnceItSaysSo)
{
    elections.add(5, start, firstProcess);
    elections.leaderStopped(6, "m1", 11);
    elections.leaderStopped(5, "m1", 12);
    elections.leaderStopped(5, "m2", 11);
    CHECK_FALSE(elections.haveLeadersStopped(5, 6));
    elections.leaderStopped(5, "m1", 11);
    CHECK(elections.haveLeadersStopped(5, 6));
}

// Guards against leaders that are overlooked: one in between, one before a gap, or one that was dropped.
TEST(ElectionHistory, LeadersThatMayBeUnknownHaveNotStopped)
{
    elections.add(3, start, firstProcess);
    elections.add(5, start, { "m2", 21, "a2" });
    elections.leaderStopped(3, "m1", 11);
    CHECK(elections.haveLeadersStopped(0, 5));
    CHECK(elections.haveLeadersStopped(3, 5));
    CHECK_FALSE(elections.haveLeadersStopped(2, 5));
    CHECK_FALSE(elections.haveLeadersStopped(3, 8));
    elections.clear();
    elections.add(8, start, firstProcess);
    elections.leaderStopped(8, "m1", 11);
    CHECK(elections.haveLeadersStopped(8, 9));
    CHECK_FALSE(elections.haveLeadersStopped(0, 9));
}

// Guards against a leader that is overlooked because it was dropped from a history without a gap.
TEST(ElectionHistory, DroppedLeadersHaveNotStopped)
{
    constexpr uint64_t elected = 100;
    elections.add(1, start, firstProcess);
    for (uint64_t epoch = 2; epoch <= elected; ++epoch) {
        elections.add(epoch, start, { "m2", 21, "a2" });
        elections.leaderStopped(epoch, "m2", 21);
    }
    CHECK_FALSE(elections.haveLeadersStopped(0, elected + 1));
    CHECK(elections.haveLeadersStopped(elected, elected + 1));
}
