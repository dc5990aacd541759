#include "VirtualCluster.h"
#include <CppUTest/TestHarness.h>
#include <LibEntry/OperatorApi.h>
#include <LibEntry/PauseGuard.h>
#include <nlohmann/json.hpp>

using namespace Bergamot;
using namespace std::chrono_literals;

static constexpr Instant start { 100s };

TEST_GROUP(PauseGuard)
{
    PauseGuard guard;

    void setup() override
    {
        guard.ticked(start, true);
        guard.configReadSucceeded(start);
    }

    HttpResponse configOf(EntryNode & node)
    {
        HttpResponse answer;
        JobApi jobs(node);
        OperatorApi api(
            node, jobs, [](const auto& task) { task(); }, "token", epochInstant);
        HttpResponder responder([&](const HttpResponse& it) { answer = it; });
        api.handle({ .method = "GET", .path = "/admin/config", .headers = { { "Authorization", "Bearer token" } } },
            std::move(responder));
        return answer;
    }
};

// Guards against a configuration that is not confirmed although the process runs without a pause.
TEST(PauseGuard, ShortDelaysAreNoPause)
{
    CHECK(guard.isConfigConfirmed(start + 900ms));
    guard.ticked(start + 900ms, true);
    CHECK(guard.isConfigConfirmed(start + 1800ms));
}

// Guards against a read that was sent before the pause, or answered during it, as confirmation.
TEST(PauseGuard, OnlyAReadAfterThePauseConfirms)
{
    CHECK_FALSE(guard.isConfigConfirmed(start + 5s));
    guard.configReadSucceeded(start + 400ms);
    guard.ticked(start + 5s, true);
    CHECK_FALSE(guard.isConfigConfirmed(start + 5s));
    guard.configReadSucceeded(start + 5s);
    CHECK(guard.isConfigConfirmed(start + 5s));
}

// Guards against a host that refuses requests for the whole length of a log outage, although it reaches its peers, and
// against authority from evidence that is older than the pause.
TEST(PauseGuard, AuthorityAfterThePauseConfirmsWithoutTheLog)
{
    for (auto now = start + 5s; now <= start + 8s; now += 500ms) {
        guard.ticked(now, true);
        CHECK_FALSE(guard.isConfigConfirmed(now));
    }
    guard.ticked(start + 8500ms, true);
    CHECK(guard.isConfigConfirmed(start + 8500ms));
}

// Guards against a host that answers with the configuration from before a pause, although a newer one was accepted
// meanwhile: its first answer comes before it has read the log or heard from a peer.
TEST(PauseGuard, FirstAnswerAfterAPauseShowsNoOlderVersion)
{
    VirtualCluster cluster { {} };
    CHECK(cluster.runUntil(10s, [&] { return cluster.leader() != nullptr; }));
    cluster.publishConfig(1);
    CHECK(cluster.runUntil(5s, [&] { return cluster.node("e3")->activeConfig().version == 1; }));
    CHECK_EQUAL(200, configOf(*cluster.node("e3")).status);
    cluster.pause("e3", 6s);
    cluster.publishConfig(2);
    cluster.run(6s - 50ms);
    LONGS_EQUAL(503, configOf(*cluster.node("e3")).status);
    CHECK(cluster.runUntil(1s, [&] { return configOf(*cluster.node("e3")).status == 200; }));
    LONGS_EQUAL(2, nlohmann::json::parse(configOf(*cluster.node("e3")).body)["version"].get<int>());
}
