#include "Files.h"
#include <CppUTest/TestHarness.h>
#include <LibConfig/IpAddress.h>
#include <LibConfig/KeyTablePage.h>
#include <LibConfig/NodeSettingsLoader.h>

using namespace Bergamot;

TEST_GROUP(NodeSettings) {};

// Guards against an example settings file that the daemon rejects.
TEST(NodeSettings, ExampleLoads)
{
    auto result = loadNodeSettings(repositoryFile("Examples/bergamotd.toml"), "bergamotd.toml");
    CHECK(std::holds_alternative<NodeSettings>(result));
    const auto& settings = std::get<NodeSettings>(result);
    STRCMP_EQUAL("127.0.0.1:8081", settings.operatorListen.c_str());
    LONGS_EQUAL(3, settings.peers.size());
    CHECK(settings.baseConfig && settings.overlayConfig);
}

// Guards against a loader that stops at the first fault or accepts host names.
TEST(NodeSettings, AllFindingsAtOnce)
{
    auto result = loadNodeSettings(R"(member = "E 1"
region = "main"
caller_listen = "localhost:8080"
operator_listen = "127.0.0.1:8082"
peer_listen = "127.0.0.1:8082"
peers = ["127.0.0.1:70000"]
log_url = "http://log.example:9000"
host_list_url = "http://[::1]:9100/"
admin_token_file = "token"
quick_thread = 2
log_level = "loud"
)",
        "node.toml");
    CHECK(std::holds_alternative<Findings>(result));
    auto text = describeFindings(std::get<Findings>(result));
    for (const char* expected : { "node.toml: zone: is required", "node.toml:1: member: \"E 1\" is not a name",
             "node.toml:3: caller_listen: \"localhost:8080\" is not an address",
             "node.toml:5: peer_listen: is the same address",
             "node.toml:6: peers: \"127.0.0.1:70000\" is not an address",
             "node.toml:7: log_url:", "node.toml:10: quick_thread: unknown key; did you mean \"quick_threads\"?",
             "node.toml:11: log_level: \"loud\" is not one of" })
        STRCMP_CONTAINS(expected, text.c_str());
    LONGS_EQUAL_TEXT(8, std::get<Findings>(result).size(), text.c_str());
}

// Guards against initial configuration settings with a base file but no overlay.
TEST(NodeSettings, BaseNeedsOverlay)
{
    auto text = repositoryFile("Examples/bergamotd.toml");
    text.replace(text.find("overlay_config"), 1, "# o");
    auto result = loadNodeSettings(text, "node.toml");
    CHECK(std::holds_alternative<Findings>(result));
    STRCMP_CONTAINS("base_config: needs overlay_config", describeFindings(std::get<Findings>(result)).c_str());
}

// Guards against accepted addresses that peers cannot connect to.
TEST(NodeSettings, AcceptsOnlyReachableIpAddresses)
{
    for (const char* good : { "10.0.0.1:1", "[fe80::1]:65535" })
        CHECK_TEXT(isIpEndpoint(good), good);
    for (const char* bad : { "", ":1", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:+1", "10.0.1:1", "fe80::1:1",
             "[]:1", "0.0.0.0:80", "[::]:80", "host:80", "10.0.0.1:1x" })
        CHECK_FALSE_TEXT(isIpEndpoint(bad), bad);
    CHECK(isIpUrl("http://10.0.0.1:9000/"));
    CHECK_FALSE(isIpUrl("https://10.0.0.1:9000"));
    CHECK_FALSE(isIpUrl("http://10.0.0.1:9000/path"));
}

// Guards against key tables in docs/configuration.md that differ from the schemas.
TEST(NodeSettings, ConfigurationPageHoldsTheKeyTables)
{
    auto page = repositoryFile("docs/configuration.md");
    for (const auto* schema : { &siteSchema(), &nodeSchema() }) {
        auto table = keyTablePage(*schema);
        table.erase(table.find_last_not_of('\n') + 1);
        CHECK(page.find(table) != std::string::npos);
    }
}
