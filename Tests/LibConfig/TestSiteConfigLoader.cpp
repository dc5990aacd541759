#include "Files.h"
#include <CppUTest/TestHarness.h>
#include <LibConfig/SiteConfigCodec.h>
#include <LibConfig/SiteConfigLoader.h>
#include <LibConfig/TermsCapacity.h>
#include <fmt/format.h>

using namespace Bergamot;

static const std::string smallBase = R"([regions.main]
zones = ["a", "b"]
[services.token]
slots_per_worker = 8
connections_per_worker = 64
timeout_ms = 1000
latency_target_ms = 50
cpu_millis = 1000
memory_mb = 1000
[clients.kiosks]
requests_per_second = 10
concurrency = 8
services = ["token"]
)";

static Findings findingsOf(const std::string& base, const std::string& overlay = {})
{
    auto result = loadSite({ .baseText = base, .overlayText = overlay });
    auto* findings = std::get_if<Findings>(&result);
    return findings ? *findings : Findings {};
}

static SiteConfig loadOrFail(const std::string& base, const std::string& overlay = {})
{
    auto result = loadSite({ .baseText = base, .overlayText = overlay });
    if (auto* findings = std::get_if<Findings>(&result))
        FAIL(describeFindings(*findings).c_str());
    return std::get<SiteConfig>(result);
}

/// Checks that there is exactly one finding, that it has this line and key, and that its message contains the text.
static void checkSingleFinding(const Findings& findings, int line, const char* key, const char* text)
{
    auto described = describeFindings(findings);
    LONGS_EQUAL_TEXT(1, findings.size(), described.c_str());
    LONGS_EQUAL_TEXT(line, findings.front().line, described.c_str());
    STRCMP_EQUAL_TEXT(key, findings.front().key.c_str(), described.c_str());
    STRCMP_CONTAINS(text, findings.front().message.c_str());
}

TEST_GROUP(SiteConfigLoader) {};

// Guards against example files that do not load, or whose guarantees exceed the capacity in section 1.1 of the design.
TEST(SiteConfigLoader, ExamplesLoadAndFitTheirCapacity)
{
    auto base = repositoryFile("Examples/base.toml");
    auto riga = loadOrFail(base, repositoryFile("Examples/riga.toml"));
    auto sofia = loadOrFail(base, repositoryFile("Examples/sofia.toml"));
    CHECK(riga.findService("token") && !riga.findService("compilation"));
    LONGS_EQUAL(4, sofia.findRegion("main")->zones.size());
    ZoneCapacities rigaZones { { "a", 16 }, { "b", 16 }, { "c", 16 } };
    ZoneCapacities sofiaZones { { "a", 17 }, { "b", 17 }, { "c", 16 }, { "d", 16 } };
    LONGS_EQUAL(256, slotsWithLargestZoneOut(riga, *riga.findService("token"), rigaZones));
    LONGS_EQUAL(0, checkTermsFit(riga, rigaZones).size());
    LONGS_EQUAL(0, checkTermsFit(sofia, sofiaZones).size());
    CHECK(riga.maySubmit("back-office", "settlement", "settlement"));
    CHECK_FALSE(riga.maySubmit("kiosks", "settlement", "settlement"));
    CHECK_FALSE(riga.maySubmit("back-office", "shops", "settlement"));
}

// Guards against a loader that stops at the first fault.
TEST(SiteConfigLoader, AllFindingsAtOnce)
{
    auto findings = findingsOf(smallBase + R"([kinds.batch]
cpu_millis = "many"
memory_mb = 0
runms = 5
teams = ["nobody"]
yields_to = ["tokn"]
[policy]
queue_limit = 1.5
)",
        "[policy]\nheadroom_percent = 200\n[services.token]\ntimeout_ms = 1000\npriority = 5\n");
    auto text = describeFindings(findings);
    for (const char* expected : {
             "base.toml:14: kinds.batch.run_ms: is required (ms)",
             "base.toml:15: kinds.batch.cpu_millis: expects an integer (1/1000 core), but is a string",
             "base.toml:16: kinds.batch.memory_mb: must be from 1 to 1000000000 (MB)",
             "base.toml:17: kinds.batch.runms: unknown key; did you mean \"run_ms\"?",
             "base.toml:18: kinds.batch.teams: \"nobody\" does not exist in teams",
             "base.toml:19: kinds.batch.yields_to: \"tokn\" does not exist in services or kinds; did you mean "
             "\"token\"?",
             "base.toml:21: policy.queue_limit: expects an integer (requests), but is a decimal number",
             "overlay.toml:2: policy.headroom_percent: must be from 0 to 90 (%)",
             "overlay.toml:4: services.token.timeout_ms: changes nothing",
             "overlay.toml:5: services.token.priority: base.toml lacks this key",
         })
        STRCMP_CONTAINS(expected, text.c_str());
    LONGS_EQUAL_TEXT(10, findings.size(), text.c_str());
}

// Guards against an unhelpful finding for a key in another unit: the message names the known key and its unit.
TEST(SiteConfigLoader, OtherUnitNamesTheKnownKey)
{
    checkSingleFinding(findingsOf(smallBase + "[policy]\nqueue_timeout_s = 1\n"), 15, "policy.queue_timeout_s",
        "\"queue_timeout_ms\"? Its unit is ms.");
}

// Guards against duplicate names of tables, in lists, across sections and across regions.
TEST(SiteConfigLoader, DuplicateNames)
{
    checkSingleFinding(findingsOf(smallBase + "[services.token]\ntimeout_ms = 5\n"), 14, "", "redefine existing table");
    checkSingleFinding(
        findingsOf(smallBase + "[regions.other]\nzones = [\"b\"]\n"), 15, "regions.other.zones", "\"main\" already");
    checkSingleFinding(
        findingsOf(smallBase + "[regions.other]\nzones = [\"c\", \"c\"]\n"), 15, "regions.other.zones", "twice");
    checkSingleFinding(findingsOf(smallBase + "[kinds.token]\ncpu_millis = 1\nmemory_mb = 1\nrun_ms = 1\n"), 14,
        "kinds.token", "a service has the same name");
}

// Guards against a parser that stops at the first syntax error and hides the later ones.
TEST(SiteConfigLoader, SyntaxErrorsDoNotHideOtherFindings)
{
    auto findings
        = findingsOf(smallBase + "[policy]\nqueue_limit = = 3\nheadroom_percent = 10 10\nqueue_timeout_ms = -1\n");
    LONGS_EQUAL(3, findings.size());
    for (size_t n = 0; n < findings.size(); ++n)
        LONGS_EQUAL(15 + n, findings[n].line);
}

// Guards against cycles in yields_to, with which jobs would evict each other repeatedly.
TEST(SiteConfigLoader, CycleInYieldsToIsReported)
{
    auto kind = [](const char* name, const char* yieldsTo) {
        return fmt::format(
            "[kinds.{}]\ncpu_millis = 1\nmemory_mb = 1\nrun_ms = 1\nyields_to = [\"{}\"]\n", name, yieldsTo);
    };
    LONGS_EQUAL(2, findingsOf(smallBase + kind("x", "y") + kind("y", "x")).size());
    LONGS_EQUAL(0, findingsOf(smallBase + kind("x", "y") + kind("y", "token")).size());
}

// Guards against limits that contradict each other, and against renewals that reduce the guaranteed terms.
TEST(SiteConfigLoader, ContradictingValues)
{
    checkSingleFinding(findingsOf(smallBase, "[services.token]\nlatency_target_ms = 1001\n"), 2,
        "services.token.latency_target_ms", "timeout_ms, which is 1000");
    checkSingleFinding(findingsOf(smallBase, "[services.token]\nconnections_per_worker = 7\n"), 2,
        "services.token.connections_per_worker", "slots_per_worker, which is 8");
    checkSingleFinding(findingsOf(smallBase + "renewals = [{ requests_per_second = 20, concurrency = 7 }]\n"), 14,
        "clients.kiosks.renewals", "below the terms before it");
    checkSingleFinding(findingsOf(smallBase + "[clients.x]\nrequests_per_second = 1\nconcurrency = 1\n"), 16,
        "clients.x.concurrency", "may call no service");
}

// Guards against references to entries that a site disables.
TEST(SiteConfigLoader, ReferenceToDisabledEntry)
{
    auto base = smallBase
        + "[services.other]\nenabled = true\nslots_per_worker = 1\nconnections_per_worker = 1\n"
          "timeout_ms = 1\nlatency_target_ms = 1\ncpu_millis = 1\nmemory_mb = 1\n";
    checkSingleFinding(
        findingsOf(base, "[clients.kiosks]\nservices = [\"other\"]\n[services.other]\nenabled = false\n"), 2,
        "clients.kiosks.services", "left out at this site");
}

// Guards against guarantees that fit only while every zone is available.
TEST(SiteConfigLoader, TermsMustFitWithTheLargestZoneOut)
{
    auto config = loadOrFail(smallBase);
    LONGS_EQUAL(0, checkTermsFit(config, { { "a", 1 }, { "b", 3 } }).size());
    LONGS_EQUAL(1, checkTermsFit(config, { { "a", 1 } }).size());
    // Workers in a zone that the configuration lacks never run tasks.
    LONGS_EQUAL(1, checkTermsFit(config, { { "a", 1 }, { "elsewhere", 9 } }).size());
    LONGS_EQUAL(1, checkTermsFit(config, { { "a", 1 }, { "b", 1 } }, { { "kiosks", { 10, 9 } } }).size());
}

// Guards against guarantees that fit the total of slots, but not those of the services that the clients are limited to.
TEST(SiteConfigLoader, TermsMustFitTheirOwnServices)
{
    auto config = loadOrFail(smallBase);
    auto other = config.services.front();
    other.name = "other";
    config.services.insert(config.services.begin(), other);
    config.clients.front().terms.concurrency = 16;
    auto findings = checkTermsFit(config, { { "a", 1 }, { "b", 1 } });
    LONGS_EQUAL(1, findings.size());
    STRCMP_CONTAINS("16 requests in progress are guaranteed for token, but only 8 slots", findings[0].message.c_str());
    config.clients.front().services = { "other", "token" };
    LONGS_EQUAL(0, checkTermsFit(config, { { "a", 1 }, { "b", 1 } }).size());
}
