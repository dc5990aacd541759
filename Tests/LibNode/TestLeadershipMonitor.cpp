#include "FakeRecordStore.h"
#include "NodeTestClock.h"
#include <CppUTest/TestHarness.h>
#include <LibNode/LeadershipMonitor.h>
#include <LibWire/ValueCodec.h>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

using namespace Bergamot;

TEST_GROUP(LeadershipMonitor)
{
    NodeTestClock clock;
    std::unique_ptr<EventLoop> loop { EventLoop::create(clock) };
    struct Member {
        std::unique_ptr<FakeRecordStore> ownStore;
        std::unique_ptr<LeadershipMonitor> monitor;
        std::vector<uint64_t> elections;
        bool canClaim { true };
        bool failsWhenElected { false };
        std::vector<ExpectedWait> expectedWaits;
        int depositions { 0 };
    };
    FakeRecordStore store { *loop };
    std::vector<std::unique_ptr<Member>> members;

    void addMember(uint64_t incarnation, int64_t cpuMillis = 0)
    {
        auto member = std::make_unique<Member>();
        auto* it = member.get();
        it->monitor = std::make_unique<LeadershipMonitor>(*loop, store,
            LeadershipMonitor::Options {
                .node = { .member = "m" + std::to_string(incarnation),
                    .incarnation = incarnation,
                    .peerAddress = "a" + std::to_string(incarnation),
                    .cpuMillis = cpuMillis },
                .canClaim = [it] { return it->canClaim; },
                .onElected =
                    [it](uint64_t epoch, bool) {
                        it->elections.push_back(epoch);
                        if (it->failsWhenElected)
                            throw std::out_of_range("a fault in the start of the leader");
                    },
                .onDeposed = [it] { ++it->depositions; },
                .expectedWaits = [it] { return it->expectedWaits; },
            });
        it->monitor->start();
        members.push_back(std::move(member));
    }

    void advance(Milliseconds time)
    {
        constexpr Milliseconds step { 5 };
        for (Milliseconds passed { 0 }; passed < time; passed += step) {
            clock.advance(step);
            loop->runReady();
        }
    }

    size_t leaders() const
    {
        size_t n = 0;
        for (const auto& member : members)
            n += member->monitor->isLeader() ? 1 : 0;
        return n;
    }

    size_t leaderIndex() const
    {
        for (size_t i = 0; i < members.size(); ++i) {
            if (members[i]->monitor->isLeader())
                return i;
        }
        return members.size();
    }
};

// Guards against two leaders after all nodes start at the same time, and against nodes that do not know the elected
// leader.
TEST(LeadershipMonitor, OneOfManyIsElected)
{
    for (uint64_t i = 1; i <= 9; ++i)
        addMember(i);
    advance(Milliseconds { 900 });
    CHECK_EQUAL(1, leaders());
    auto leader = members[leaderIndex()]->monitor->leader();
    for (const auto& member : members)
        CHECK(member->monitor->leader() == leader);
    advance(Milliseconds { 10000 });
    CHECK_EQUAL(1, members[leaderIndex()]->elections.size());
}

// Guards against a failed leader that is not replaced within 3 s, and against epochs that do not increase.
TEST(LeadershipMonitor, FailedLeaderIsReplaced)
{
    for (uint64_t i = 1; i <= 3; ++i)
        addMember(i);
    advance(Milliseconds { 900 });
    auto first = leaderIndex();
    auto epoch = members[first]->elections.back();
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(first));
    advance(Milliseconds { 2500 });
    CHECK_EQUAL(1, leaders());
    CHECK(members[leaderIndex()]->elections.back() > epoch);
}

// Guards against a planned shutdown that leaves the cluster without a leader until the leader time-out.
TEST(LeadershipMonitor, ResignationTriggersAnImmediateElection)
{
    for (uint64_t i = 1; i <= 3; ++i)
        addMember(i);
    advance(Milliseconds { 900 });
    auto first = leaderIndex();
    members[first]->monitor->resign();
    advance(Milliseconds { 150 });
    CHECK(leaderIndex() != first || leaders() == 0);
    CHECK_EQUAL(1, members[first]->depositions);
    CHECK_EQUAL(1, leaders());
}

// Guards against a leader that starts new jobs after its resignation, because it takes the stored record of it for a
// proof of leadership: its successor may be elected at once.
TEST(LeadershipMonitor, ResignationEndsTheProofOfLeadership)
{
    addMember(1);
    advance(Milliseconds { 1000 });
    auto& monitor = *members[0]->monitor;
    auto resignedAt = clock.now();
    monitor.resign();
    CHECK_FALSE(monitor.holdsLease(clock.now()));
    advance(Milliseconds { 200 });
    CHECK(monitor.isLeader());
    CHECK_FALSE(monitor.holdsLease(clock.now()));
    CHECK(monitor.soleLeaderUntil(clock.now()) <= resignedAt);
    CHECK(monitor.soleLeaderUntil(clock.now()) > resignedAt - Milliseconds { 400 });
}

// Guards against an unrecognized election when the reply to the claim is lost: the claiming node must learn the result
// from the stream.
TEST(LeadershipMonitor, ClaimWithALostReplyStillElects)
{
    store.fault = FakeRecordStore::Fault::LosingReplies;
    addMember(1);
    addMember(2);
    advance(Milliseconds { 1000 });
    CHECK_EQUAL(1, leaders());
    CHECK_FALSE(members[leaderIndex()]->monitor->holdsLease(clock.now()));
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 1500 });
    CHECK_EQUAL(1, leaders());
    CHECK(members[leaderIndex()]->monitor->holdsLease(clock.now()));
}

// Guards against a change of leader after a store outage, and against a lease that does not expire during the outage.
TEST(LeadershipMonitor, StoreOutageKeepsTheLeaderButNotItsLease)
{
    addMember(1);
    addMember(2);
    advance(Milliseconds { 1000 });
    auto first = leaderIndex();
    store.fault = FakeRecordStore::Fault::Refusing;
    advance(Milliseconds { 5000 });
    CHECK_EQUAL(1, leaders());
    CHECK_FALSE(members[first]->monitor->holdsLease(clock.now()));
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 1000 });
    CHECK_EQUAL(first, leaderIndex());
    CHECK(members[first]->monitor->holdsLease(clock.now()));
}

// Guards against a proof of leadership that is taken from the time of a reply or of an unanswered keepalive.
TEST(LeadershipMonitor, ProofOfLeadershipEndsWithTheLastStoredKeepalive)
{
    addMember(1);
    advance(Milliseconds { 1000 });
    auto& monitor = *members[0]->monitor;
    CHECK(monitor.soleLeaderUntil(clock.now()) == clock.now());
    store.fault = FakeRecordStore::Fault::Refusing;
    auto failingFrom = clock.now();
    advance(Milliseconds { 600 });
    CHECK(monitor.soleLeaderUntil(clock.now()) == clock.now());
    advance(Milliseconds { 2000 });
    CHECK(monitor.soleLeaderUntil(clock.now()) <= failingFrom);
    CHECK(monitor.soleLeaderUntil(clock.now()) > failingFrom - Milliseconds { 400 });
}

// Guards against a new node that requests records which the store has deleted and never catches up.
TEST(LeadershipMonitor, DeletedRecordsDoNotStopANewNode)
{
    addMember(1);
    advance(Milliseconds { 2000 });
    store.expire(StreamName::Leadership);
    addMember(2);
    advance(Milliseconds { 1000 });
    members.erase(members.begin());
    advance(Milliseconds { 3000 });
    CHECK_EQUAL(1, leaders());
}

// Guards against a node that deposes the leader when it starts, because the store has deleted the claim of the leader
// and holds its keepalives only.
TEST(LeadershipMonitor, NewNodeKeepsALeaderWhoseClaimIsDeleted)
{
    addMember(1);
    advance(Milliseconds { 2000 });
    store.expire(StreamName::Leadership);
    advance(Milliseconds { 2000 });
    addMember(2);
    advance(Milliseconds { 4000 });
    CHECK_EQUAL(0, members[0]->depositions);
    CHECK_EQUAL(1, members[0]->elections.size());
    CHECK(members[1]->elections.empty());
}

// Guards against a leader on a small host, which limits the whole cluster, while larger hosts are available.
TEST(LeadershipMonitor, HostWithMostCpuIsElected)
{
    for (uint64_t i = 1; i <= 9; ++i)
        addMember(i, i == 6 ? 500 : 69);
    advance(Milliseconds { 1500 });
    CHECK_EQUAL(5, leaderIndex());
}

// Guards against the election of a small host after the leader resigned or failed.
TEST(LeadershipMonitor, SuccessorIsAnotherLargeHost)
{
    for (uint64_t i = 1; i <= 9; ++i)
        addMember(i, i % 3 == 0 ? 500 : 69);
    advance(Milliseconds { 1500 });
    auto first = leaderIndex();
    CHECK_EQUAL(2, first % 3);
    members[first]->monitor->resign();
    advance(Milliseconds { 900 });
    auto second = leaderIndex();
    CHECK_EQUAL(2, second % 3);
    CHECK(first != second);
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(second));
    advance(Milliseconds { 2500 });
    CHECK_EQUAL(1, leaders());
    auto third = members[leaderIndex()]->monitor->leader()->member;
    CHECK(third == "m3" || third == "m6" || third == "m9");
}

// Guards against small hosts that wait indefinitely for large hosts that have failed.
TEST(LeadershipMonitor, SmallHostLeadsWhenNoLargeOneIsLeft)
{
    addMember(1, 69);
    addMember(2, 500);
    advance(Milliseconds { 1500 });
    CHECK_EQUAL(1, leaderIndex());
    members.pop_back();
    advance(Milliseconds { 3000 });
    CHECK_EQUAL(0, leaderIndex());
}

// Guards against a claim before the node has loaded the data that a leader needs, and against a delay afterwards.
TEST(LeadershipMonitor, NodeClaimsOnlyOnceCanClaimIsTrue)
{
    addMember(1);
    members[0]->canClaim = false;
    advance(Milliseconds { 5000 });
    CHECK_EQUAL(0, leaders());
    members[0]->canClaim = true;
    members[0]->monitor->claimIfDue();
    advance(Milliseconds { 30 });
    CHECK_EQUAL(1, leaders());
}

// Guards against a claim by a node that could not read the stream during a store outage: it must read the stream before
// it concludes that the leader sent no keepalives.
TEST(LeadershipMonitor, ClaimIfDueRightAfterAnOutageKeepsTheLeader)
{
    addMember(1);
    addMember(2);
    advance(Milliseconds { 1000 });
    auto first = leaderIndex();
    store.fault = FakeRecordStore::Fault::Unresponsive;
    advance(Milliseconds { 5000 });
    CHECK_EQUAL(first, leaderIndex());
    store.fault = FakeRecordStore::Fault::None;
    members[1 - first]->monitor->claimIfDue();
    advance(Milliseconds { 3000 });
    CHECK_EQUAL(first, leaderIndex());
    CHECK_EQUAL(0, members[first]->depositions);
}

// Guards against a leader that relies on records of a leader that is not its predecessor, because it could not read an
// election: the store has deleted the record, or a newer version has written it.
TEST(LeadershipMonitor, ElectionsBeforeAGapInTheStreamAreForgotten)
{
    enum class Gap : uint8_t { None, Expired, Unreadable };
    for (auto gap : { Gap::None, Gap::Expired, Gap::Unreadable }) {
        members.clear();
        addMember(1);
        addMember(2);
        advance(Milliseconds { 2000 });
        auto first = leaderIndex();
        auto epoch = members[first]->elections.back();
        auto successor = std::move(members[1 - first]);
        members.clear();
        if (gap == Gap::Unreadable)
            store.put(StreamName::Leadership, {}, "unreadable");
        if (gap == Gap::Expired) {
            store.fault = FakeRecordStore::Fault::Refusing;
            advance(Milliseconds { 800 });
            store.put(StreamName::Leadership, {}, encodeValue(LeadershipRecord { .member = "m3", .incarnation = 3 }));
            store.expire(StreamName::Leadership);
            store.fault = FakeRecordStore::Fault::None;
        }
        advance(Milliseconds { 4000 });
        CHECK(successor->monitor->isLeader());
        const auto& elections = successor->monitor->elections();
        auto predecessor = elections.predecessorOf(successor->elections.back());
        CHECK_EQUAL(gap == Gap::None ? epoch : 0, predecessor.value_or(0));
        CHECK(elections.electedBy(successor->elections.back()).has_value());
    }
}

// Guards against placements that count for nothing under a process which has started since the store has deleted the
// claim of their author.
TEST(LeadershipMonitor, PlacementsOfALeaderWhoseClaimIsDeletedHold)
{
    addMember(1);
    advance(Milliseconds { 2000 });
    auto author = members[0]->elections.back();
    store.expire(StreamName::Leadership);
    addMember(2);
    advance(Milliseconds { 1000 });
    members.erase(members.begin());
    advance(Milliseconds { 4000 });
    CHECK(members[0]->monitor->isLeader());
    const auto& elections = members[0]->monitor->elections();
    CHECK_FALSE(elections.predecessorOf(members[0]->elections.back()).has_value());
    CHECK(elections.arePlacementsRecordedSince(author));
    CHECK(elections.arePlacementsRecordedSince(0));
}

// Guards against relying on placements of a leader whose successor is not known: it may be of an older version.
TEST(LeadershipMonitor, PlacementsDoNotHoldBeyondALeaderOfAnOlderVersion)
{
    addMember(1);
    advance(Milliseconds { 2000 });
    auto author = members[0]->elections.back();
    store.put(StreamName::Leadership, {},
        encodeValue(LeadershipRecord { .member = "m3", .incarnation = 3, .peerAddress = "a3" }));
    advance(Milliseconds { 6000 });
    CHECK(members[0]->monitor->isLeader());
    CHECK(members[0]->elections.back() > author);
    CHECK_FALSE(members[0]->monitor->elections().arePlacementsRecordedSince(author));
    CHECK(members[0]->monitor->elections().arePlacementsRecordedSince(members[0]->elections.back()));
}

// Guards against two leaders: the claim of a successor may be among the records that the store has deleted.
TEST(LeadershipMonitor, LeaderThatHasMissedRecordsHasNoProofAtOnce)
{
    addMember(1);
    advance(Milliseconds { 2000 });
    store.fault = FakeRecordStore::Fault::Refusing;
    advance(Milliseconds { 3000 });
    store.put(StreamName::Leadership, {}, encodeValue(LeadershipRecord { .member = "m3", .incarnation = 3 }));
    auto successorElectedAt = clock.now();
    store.expire(StreamName::Leadership);
    store.fault = FakeRecordStore::Fault::None;
    advance(Milliseconds { 700 });
    CHECK(members[0]->monitor->soleLeaderUntil(clock.now()) <= successorElectedAt);
}

// Guards against elections that a process which starts later, and learns of all at once, takes for recent ones, and
// against elections that are placed before they have taken place.
TEST(LeadershipMonitor, RestartedProcessKnowsTheAgesOfElections)
{
    addMember(1);
    std::vector<std::pair<uint64_t, Instant>> elected;
    for (uint64_t incarnation = 2; incarnation <= 4; ++incarnation) {
        while (!members.back()->monitor->isLeader())
            advance(Milliseconds { 5 });
        elected.emplace_back(members.back()->elections.back(), clock.now());
        advance(Milliseconds { 2000 });
        addMember(incarnation);
        advance(Milliseconds { 20 });
        members.erase(members.begin());
    }
    // For each process that has read the stream only after the election: the interval of keepalives, and 3 % of the
    // time.
    constexpr Milliseconds maxErrorPerLeader { 400 };
    const auto& elections = members.back()->monitor->elections();
    for (size_t i = 0; i < elected.size(); ++i) {
        auto [epoch, at] = elected[i];
        auto electedBy = elections.electedBy(epoch).value_or(Instant::max());
        CHECK(electedBy >= at - Milliseconds { 10 });
        CHECK(electedBy <= at + maxErrorPerLeader * (elected.size() - i));
    }
}

// Guards against a proof of leadership by a keepalive that the store appended after the claim of another node: a leader
// that had stood still answered from its old state, since it had not read the claim yet (soak seed 7103).
TEST(LeadershipMonitor, KeepaliveAfterAnUnreadClaimProvesNothing)
{
    addMember(1);
    advance(Milliseconds { 2000 });
    auto& monitor = *members[0]->monitor;
    CHECK(monitor.holdsLease(clock.now()));
    store.unreadable.insert({ StreamName::Leadership, 0 });
    advance(Milliseconds { 700 });
    constexpr Milliseconds halfOfThePause { 1200 };
    clock.advance(halfOfThePause);
    store.put(StreamName::Leadership, {}, encodeValue(LeadershipRecord { .member = "m2", .incarnation = 2 }));
    auto claimedAt = clock.now();
    clock.advance(halfOfThePause);
    for (int i = 0; i < 40; ++i) {
        advance(Milliseconds { 50 });
        CHECK(monitor.soleLeaderUntil(clock.now()) <= claimedAt);
    }
    store.unreadable.clear();
    advance(Milliseconds { 500 });
    CHECK_EQUAL(1, members[0]->depositions);
}

// Guards against a node that considers itself the leader for ever because a failure at its election ended its reads.
TEST(LeadershipMonitor, NodeThatFailsAtItsElectionLearnsOfItsSuccessor)
{
    addMember(1);
    members[0]->failsWhenElected = true;
    advance(Milliseconds { 1000 });
    CHECK_EQUAL(1, members[0]->elections.size());
    addMember(2);
    advance(Milliseconds { 4000 });
    CHECK_EQUAL(1, members[1]->elections.size());
    CHECK_EQUAL(1, members[0]->depositions);
    CHECK_EQUAL(1, leaders());
}

// Guards against a fencing token that does not rise while a node leads, or that outranks a later leader.
TEST(LeadershipMonitor, FencingTokenRisesAndStaysBelowTheEpochOfASuccessor)
{
    addMember(1);
    addMember(2);
    advance(Milliseconds { 1000 });
    auto& first = *members[leaderIndex()]->monitor;
    auto token = first.fenceToken();
    CHECK(token >= first.leader()->epoch);
    for (int i = 0; i < 10; ++i) {
        advance(Milliseconds { 700 });
        CHECK(first.fenceToken() > token);
        token = first.fenceToken();
    }
    first.resign();
    advance(Milliseconds { 3000 });
    CHECK_FALSE(first.isLeader());
    auto& second = *members[leaderIndex()]->monitor;
    CHECK(second.leader()->epoch > first.fenceToken());
    CHECK(second.fenceToken() >= second.leader()->epoch);
}

// Guards against a wait for a leader that has been replaced and has said so.
TEST(LeadershipMonitor, DeposedLeaderIsKnownToHaveStopped)
{
    for (uint64_t i = 1; i <= 3; ++i)
        addMember(i);
    advance(Milliseconds { 900 });
    auto epoch = members[leaderIndex()]->elections.back();
    members[leaderIndex()]->monitor->resign();
    advance(Milliseconds { 500 });
    CHECK_EQUAL(1, leaders());
    const auto& elections = members[leaderIndex()]->monitor->elections();
    CHECK(elections.haveLeadersStopped(epoch, epoch + 1));
    CHECK_FALSE(elections.haveLeadersStopped(epoch, members[leaderIndex()]->elections.back() + 1));
}

// Guards against a leader that counts as ended because of a candidacy that may have been sent before its election, and
// against a wait for one whose host runs a later process.
TEST(LeadershipMonitor, LaterProcessOfItsHostShowsThatALeaderHasEnded)
{
    enum class Evidence : uint8_t { EarlyCandidacy, Candidacy, Claim };
    uint64_t incarnation = 0;
    for (auto evidence : { Evidence::EarlyCandidacy, Evidence::Candidacy, Evidence::Claim }) {
        members.clear();
        addMember(++incarnation);
        addMember(++incarnation);
        advance(Milliseconds { 2000 });
        auto first = leaderIndex();
        auto follower = std::move(members[1 - first]);
        members.clear();
        auto leader = *follower->monitor->leader();
        LeadershipRecord record {
            .member = leader.member, .incarnation = ++incarnation, .peerAddress = leader.peerAddress
        };
        if (evidence != Evidence::Claim) {
            record.epoch = candidacyEpoch;
            record.readUpTo = evidence == Evidence::Candidacy ? leader.epoch : leader.epoch - 1;
        }
        store.put(StreamName::Leadership, {}, encodeValue(record));
        advance(Milliseconds { 100 });
        const auto& elections = follower->monitor->elections();
        CHECK_EQUAL(evidence != Evidence::EarlyCandidacy, elections.haveLeadersStopped(leader.epoch, leader.epoch + 1));
    }
}

// Guards against a wait for a process that has ended and whose claim is carried out after its successor on the host has
// announced itself.
TEST(LeadershipMonitor, LateClaimOfAnEarlierProcessIsAnsweredToo)
{
    LeadershipRecord claim { .member = "m1", .incarnation = 99, .peerAddress = "a1" };
    store.put(StreamName::Leadership, {}, encodeValue(claim));
    addMember(1);
    members[0]->canClaim = false;
    advance(Milliseconds { 500 });
    const auto& elections = members[0]->monitor->elections();
    CHECK(elections.haveLeadersStopped(1, 2));
    store.put(StreamName::Leadership, {}, encodeValue(claim));
    advance(Milliseconds { 500 });
    auto epoch = members[0]->monitor->leader()->epoch;
    CHECK(epoch > 1);
    CHECK(elections.haveLeadersStopped(1, epoch + 1));
}

// Guards against a wait for a process whose claim is carried out after it has resigned, so that it never leads.
TEST(LeadershipMonitor, LateClaimOfAResignedProcessIsKnownToHaveStopped)
{
    addMember(1);
    members[0]->canClaim = false;
    advance(Milliseconds { 500 });
    members[0]->monitor->resign();
    store.put(StreamName::Leadership, {},
        encodeValue(LeadershipRecord { .member = "m1", .incarnation = 1, .peerAddress = "a1" }));
    advance(Milliseconds { 500 });
    auto epoch = members[0]->monitor->leader()->epoch;
    CHECK_EQUAL(0, leaders());
    CHECK(members[0]->monitor->elections().haveLeadersStopped(epoch, epoch + 1));
}

// Guards against nodes that refuse jobs for a backlog that ended, or that a leader published which has been replaced.
TEST(LeadershipMonitor, ExpectedWaitsAreThoseOfTheCurrentLeadersLatestKeepalive)
{
    for (uint64_t i = 1; i <= 3; ++i)
        addMember(i);
    advance(Milliseconds { 900 });
    auto first = leaderIndex();
    auto other = (first + 1) % members.size();
    CHECK(members[other]->monitor->expectedWaits().empty());
    members[first]->expectedWaits = { { .service = "s", .image = "i", .waitMs = 7 } };
    advance(Milliseconds { 700 });
    for (const auto& member : members)
        CHECK(member->monitor->expectedWaits() == members[first]->expectedWaits);
    members[first]->expectedWaits.clear();
    advance(Milliseconds { 700 });
    CHECK(members[other]->monitor->expectedWaits().empty());
    members[first]->expectedWaits = { { .service = "s", .image = "i", .waitMs = 7 } };
    advance(Milliseconds { 700 });
    members[first]->monitor->resign();
    advance(Milliseconds { 300 });
    CHECK(leaderIndex() != first);
    for (const auto& member : members)
        CHECK(member->monitor->expectedWaits().empty());
}

// Guards against refusals that go on while a node cannot read the stream.
TEST(LeadershipMonitor, ExpectedWaitsAreForgottenWhenTheStreamCannotBeRead)
{
    addMember(1);
    members[0]->expectedWaits = { { .service = "s", .image = "i", .waitMs = 7 } };
    advance(Milliseconds { 1500 });
    CHECK_EQUAL(1, members[0]->monitor->expectedWaits().size());
    store.fault = FakeRecordStore::Fault::Unresponsive;
    advance(Milliseconds { 2000 });
    CHECK_EQUAL(1, members[0]->monitor->expectedWaits().size());
    advance(Milliseconds { 1500 });
    CHECK(members[0]->monitor->expectedWaits().empty());
}
