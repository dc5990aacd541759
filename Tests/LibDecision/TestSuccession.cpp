#include <CppUTest/TestHarness.h>
#include <LibDecision/Succession.h>

using namespace Bergamot;

TEST_GROUP(Succession)
{
    Succession succession { { .member = "m1", .incarnation = 1, .cpuMillis = 4000 } };

    void setup() override { succession.candidateSeen("m1", { .incarnation = 1, .cpuMillis = 4000 }); }

    Milliseconds delay(bool drains) const { return succession.claimDelay(0, drains); }
};

// Guards against the election of a process that ends soon while another one goes on, and against a needless wait.
TEST(Succession, DrainingProcessWaitsForOneThatGoesOn)
{
    CHECK(delay(true) < Milliseconds { 100 });
    succession.candidateSeen("m2", { .incarnation = 2, .cpuMillis = 4000 });
    CHECK(delay(true) > Succession::maxClaimDelay);
    CHECK(succession.claimDelay(2, true) < Milliseconds { 100 });
    succession.candidateSeen("m2", { .incarnation = 2, .cpuMillis = 4000, .drains = true });
    CHECK(delay(true) < Milliseconds { 100 });
    CHECK_FALSE(succession.hasSuccessor());
}

// Guards against a hand-over to a process that has ended: its announcement is stored after that of the next one.
TEST(Succession, LateAnnouncementOfAnEndedProcessIsIgnored)
{
    succession.candidateSeen("m2", { .incarnation = 2, .cpuMillis = 4000 });
    succession.candidateSeen("m2", { .incarnation = 3, .cpuMillis = 4000, .drains = true });
    succession.candidateSeen("m2", { .incarnation = 2, .cpuMillis = 4000 });
    CHECK_FALSE(succession.hasSuccessor());
}

// Guards against hand-overs to a candidate that has been killed, one after the other.
TEST(Succession, CandidateThatHasMissedAnElectionIsNoSuccessor)
{
    succession.candidateSeen("m2", { .incarnation = 2, .cpuMillis = 4000 });
    CHECK(succession.hasSuccessor());
    succession.candidatesMissedElection();
    CHECK_FALSE(succession.hasSuccessor());
    CHECK(delay(true) < Milliseconds { 100 });
    succession.candidateSeen("m2", { .incarnation = 2, .cpuMillis = 4000 });
    CHECK(succession.hasSuccessor());
}

// Guards against a leader on a small host while a larger one is available.
TEST(Succession, SmallHostWaitsForALargeOne)
{
    succession.candidateSeen("m2", { .incarnation = 2, .cpuMillis = 8000 });
    CHECK(delay(false) >= Milliseconds { 400 });
    CHECK(delay(true) > Succession::maxClaimDelay);
}

// Guards against a change of leader at each restart of a series, and against a wait for a process that leads no longer.
TEST(Succession, ProcessThatHasStartedLastClaimsFirst)
{
    CHECK(delay(false) == Milliseconds { 0 });
    succession.candidateSeen("m2", { .incarnation = 2, .cpuMillis = 4000 });
    CHECK(delay(false) >= Milliseconds { 100 });
    CHECK(succession.claimDelay(2, false) == Milliseconds { 0 });
    succession.candidateSeen("m3", { .incarnation = 3, .cpuMillis = 100 });
    succession.candidateSeen("m2", { .incarnation = 2, .cpuMillis = 4000, .drains = true });
    CHECK(delay(false) == Milliseconds { 0 });
}
