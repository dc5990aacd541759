#include <CppUTest/TestHarness.h>
#include <LibDecision/ClientLimiter.h>
#include <map>
#include <memory>
#include <random>

using namespace Bergamot;

static Instant at(int ms) { return epochInstant + Milliseconds(ms); }

TEST_GROUP(ClientLimiter)
{
    // Members that exchange delayed and lost messages. `running` holds the end times of the requests in progress of
    // each member.
    struct Cluster {
        std::vector<ClientLimiter::Member> members {};
        std::map<MemberId, std::unique_ptr<ClientLimiter>> limiters {};
        std::map<MemberId, std::vector<int>> running {};
        std::multimap<int, ShareReport> reports {};
        std::multimap<int, ShareGrant> grants {};
        std::mt19937_64 random;
        int64_t limit { 20 };
        /// All reports of this member are lost.
        MemberId unreachable {};

        explicit Cluster(int size, uint64_t seed = 5)
            : random(seed)
        {
            for (int n = 0; n < size; ++n)
                members.push_back({ .id = "e" + std::to_string(n), .incarnation = 1 });
            for (const auto& member : members)
                add(member);
        }

        void add(const ClientLimiter::Member& member, int ms = 0)
        {
            auto limiter = ClientLimiter::create({ .self = member.id, .incarnation = member.incarnation });
            CHECK(limiter.ok());
            limiters[member.id] = std::make_unique<ClientLimiter>(std::move(*limiter));
            limiters[member.id]->setAuthorityExpiry(at(1000000));
            CHECK(limiters[member.id]->setMembers(members, at(ms)).ok());
            CHECK(limiters[member.id]
                      ->setLimit({ .client = "c", .rateMillis = 1000000, .concurrency = limit }, at(ms))
                      .ok());
        }

        // Simulates a step of 10 ms with the given concurrent demand of each member, and returns the requests in
        // progress.
        int64_t step(int ms, const std::map<MemberId, int>& demand, int maxDelayMs)
        {
            for (auto it = reports.begin(); it != reports.end() && it->first <= ms; it = reports.erase(it)) {
                if (auto to = limiters.find(it->second.coordinator); to != limiters.end()) {
                    if (auto grant = to->second->grant(it->second, at(ms)); grant.ok() && random() % 10)
                        grants.emplace(ms + static_cast<int>(random() % maxDelayMs), *grant);
                }
            }
            for (auto it = grants.begin(); it != grants.end() && it->first <= ms; it = grants.erase(it)) {
                if (auto to = limiters.find(it->second.member); to != limiters.end())
                    static_cast<void>(to->second->applyGrant(it->second, at(ms)));
            }
            int64_t sum = 0;
            for (auto& [id, limiter] : limiters) {
                auto& ends = running[id];
                std::erase_if(
                    ends, [&, limit = limiter.get()](int end) { return end <= ms && limit->finish("c", at(ms)).ok(); });
                const auto memberDemand = demand.contains(id) ? demand.at(id) : 0;
                for (int n = static_cast<int>(ends.size()); n < memberDemand; ++n) {
                    if (*limiter->admit("c", at(ms)) == ClientLimiter::Outcome::Admitted)
                        ends.push_back(ms + 10 + static_cast<int>(random() % 1900));
                }
                const auto due = limiter->makeReports(at(ms));
                CHECK(due.ok());
                for (size_t n = 0; id != unreachable && n < due->size(); ++n)
                    reports.emplace(ms + static_cast<int>(random() % maxDelayMs), (*due)[n]);
                sum += static_cast<int64_t>(ends.size());
            }
            return sum;
        }
    };
};

// Guards against members whose shares or requests in progress together exceed a client's limits. Messages are delayed
// and lost, the load changes, the coordinator fails and a member joins; the members learn of both at different times.
TEST(ClientLimiter, TheSharesNeverExceedTheLimit)
{
    for (int run = 0; run < 30; ++run) {
        const int delays[] = { 2, 300, 3000 };
        Cluster cluster(4, static_cast<uint64_t>(run));
        const auto failedMember = cluster.limiters.begin()->second->coordinatorOf("c");
        const ClientLimiter::Member added { .id = "e9", .incarnation = 1 };
        int64_t maxInUse = 0;
        std::map<MemberId, int> demand;
        std::map<MemberId, int> learnsAtMs;
        for (int ms = 0; ms < 50000; ms += 10) {
            for (auto& [id, limiter] : cluster.limiters) {
                if (ms % 2000 == 0)
                    demand[id] = cluster.random() % 2 ? 0 : static_cast<int>(cluster.random() % 25);
                if (ms % 20000 == 0)
                    learnsAtMs[id] = ms + static_cast<int>(cluster.random() % 290) * 10;
                if (ms > 20000 && ms == learnsAtMs[id])
                    CHECK(limiter->setMembers(cluster.members, at(ms)).ok());
            }
            if (ms == 20000) {
                cluster.limiters.erase(failedMember);
                std::erase_if(cluster.members, [&](const auto& member) { return member.id == failedMember; });
            } else if (ms == 40000) {
                cluster.members.push_back(added);
                cluster.add(added, ms);
            }
            // The requests of the failed member run to their end, for at most 2 s.
            std::erase_if(cluster.running[failedMember], [&](int end) { return ms >= 20000 && end <= ms; });
            const auto failedInUse = ms >= 20000 ? static_cast<int64_t>(cluster.running[failedMember].size()) : 0;
            const auto inUse = cluster.step(ms, demand, delays[run % 3]) + failedInUse;
            maxInUse = std::max(maxInUse, inUse);
            ClientShare sum;
            for (auto& [id, limiter] : cluster.limiters) {
                sum.concurrency += limiter->shareOf("c", at(ms))->concurrency;
                sum.rateMillis += limiter->shareOf("c", at(ms))->rateMillis;
            }
            CHECK(inUse <= cluster.limit && sum.concurrency <= cluster.limit && sum.rateMillis <= 1000000);
        }
        // With message delays longer than the lease, members mostly have only their base share.
        CHECK(maxInUse >= cluster.limit * 3 / 4 || run % 3 == 2);
    }
}

// Guards against granting the concurrency of a member whose reports are lost to others while its requests are in
// progress.
TEST(ClientLimiter, ConcurrencyOfAnUnreachableMemberIsReusedOnlyAfterItsRequestsEnd)
{
    Cluster cluster(2);
    const auto coordinator = cluster.limiters["e0"]->coordinatorOf("c");
    const MemberId other = coordinator == "e0" ? "e1" : "e0";
    for (int ms = 0; ms < 12000; ms += 10)
        cluster.step(ms, { { other, 40 } }, 3);
    cluster.unreachable = other;
    for (int ms = 12000; ms < 20000; ms += 10)
        CHECK(cluster.step(ms, { { other, 40 }, { coordinator, 40 } }, 3) <= cluster.limit);
    CHECK(cluster.running[coordinator].size() >= 15);
}

// Guards against a limit that is mostly unused because all load arrives at one member.
TEST(ClientLimiter, OneLoadedMemberGetsMostOfTheLimit)
{
    Cluster cluster(9);
    int64_t last = 0;
    for (int ms = 0; ms < 12000; ms += 10)
        last = cluster.step(ms, { { "e4", 40 } }, 3);
    // The whole leased part of the limit is 15; equal static shares would be 20 / 9.
    CHECK(last >= 14);
}

// Guards against a total rate of all members above the limit, and against a rate well below it.
TEST(ClientLimiter, TheRateStaysAtTheLimit)
{
    Cluster cluster(3);
    for (auto& [id, limiter] : cluster.limiters)
        CHECK(limiter->setLimit({ .client = "c", .rateMillis = 100000, .concurrency = 1000000 }, at(0)).ok());
    int64_t admitted = 0;
    for (int ms = 0; ms < 30000; ms += 10) {
        cluster.step(ms, {}, 3);
        for (auto& [id, limiter] : cluster.limiters) {
            for (int n = 0; n < (id == "e0" ? 5 : 1); ++n) {
                if (ms >= 10000 && *limiter->admit("c", at(ms)) == ClientLimiter::Outcome::Admitted) {
                    CHECK(limiter->finish("c", at(ms)).ok());
                    ++admitted;
                }
            }
        }
    }
    // 100 requests per second for 20 s, plus a burst of 200 ms.
    CHECK(admitted <= 2020);
    CHECK(admitted >= 1900);
}

// Guards against crashes and state changes on invalid arguments.
TEST(ClientLimiter, InvalidArgumentsAreRejected)
{
    CHECK(!ClientLimiter::create({}).ok());
    CHECK(!ClientLimiter::create({ .self = "e0", .baseShareMillis = 1001 }).ok());
    Cluster cluster(2);
    auto& limiter = *cluster.limiters["e0"];
    CHECK(!limiter.setMembers({ { .id = "a" }, { .id = "a" } }, at(0)).ok());
    CHECK(!limiter.setLimit({ .client = "c", .rateMillis = -1 }, at(0)).ok());
    CHECK(!limiter.removeClient("x", at(0)).ok());
    CHECK(!limiter.admit("x", at(0)).ok());
    CHECK(!limiter.finish("c", at(0)).ok());
    CHECK(!limiter.shareOf("x", at(0)).ok());
    CHECK(!limiter.grant({ .member = "e1", .incarnation = 1, .coordinator = "e1" }, at(0)).ok());
    CHECK(!limiter.grant({ .member = "e1", .incarnation = 2, .coordinator = "e0" }, at(0)).ok());
    CHECK(!limiter.grant({ .member = "e1", .incarnation = 1, .coordinator = "e0", .clients = { { "c", -1 } } }, at(0))
               .ok());
    CHECK(!limiter.applyGrant({ .member = "e0", .incarnation = 1, .sequence = 77, .lease = Milliseconds(9) }, at(0))
               .ok());
    CHECK(limiter.admit("c", at(10)).ok());
    CHECK(!limiter.admit("c", at(9)).ok());
    limiter.setAuthorityExpiry(at(10));
    CHECK(limiter.admit("c", at(10)).status().code() == absl::StatusCode::kFailedPrecondition);
}
