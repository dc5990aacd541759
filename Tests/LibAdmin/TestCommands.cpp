#include "CommandRunner.h"
#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace Bergamot;
using Json = nlohmann::json;

static const std::string base = "[regions.main]\nzones = [\"a\"]\n[policy]\nqueue_limit = 256\n";
static const std::string overlay = "[policy]\nqueue_limit = 300\n";

struct CommandCase {
    const char* line;
    const char* request;
    const char* body;
};

/// Each command that reaches an entry host, with the request that docs/admin-api.md gives for it.
static const CommandCase commandCases[] = {
    { "status", "GET /admin/status", "" },
    { "zone out a", "POST /admin/zones/a", R"({"out":true})" },
    { "zone in a", "POST /admin/zones/a", R"({"out":false})" },
    { "host list", "GET /admin/state", "" },
    { "host drain rack/1", "POST /admin/hosts/rack%2F1", R"({"draining":true})" },
    { "host undrain w1", "POST /admin/hosts/w1", R"({"draining":false})" },
    { "job submit k --client c --team t", "POST /v1/jobs",
        R"({"client":"c","key":"ctl-unique","kind":"k","team":"t"})" },
    { "job submit k --client c --team t --cpu-millis 1 --memory-mb 2 --accelerators 3 --run-ms 4 --urgent --key x",
        "POST /v1/jobs",
        R"({"accelerators":3,"client":"c","cpu_millis":1,"key":"x","kind":"k","memory_mb":2,"run_ms":4,"team":"t","urgent":true})" },
    { "job list", "GET /v1/jobs?limit=100", "" },
    { "job list --state pending --kind k --team t --limit 5", "GET /v1/jobs?limit=5&state=pending&kind=k&team=t", "" },
    { "job show e1.7", "GET /v1/jobs/e1.7", "" },
    { "job cancel e1.7", "DELETE /v1/jobs/e1.7", "" },
    { "job why e1.7", "GET /admin/why/e1.7", "" },
    { "terms show", "GET /admin/terms", "" },
    { "terms renew c --renewal 2", "POST /admin/terms/c/renew", R"({"renewal":2})" },
    { "config show", "GET /admin/config", "" },
    { "config show 3", "GET /admin/config?version=3", "" },
    { "config diff 3 4", "GET /admin/config?version=3", "" },
    { "config diff --files base overlay", "GET /admin/config", "" },
    { "config history --limit 3", "GET /admin/config/history?limit=3", "" },
    { "burn", "GET /admin/burn?format=text", "" },
    { "burn --output json", "GET /admin/burn?format=json", "" },
};

// A fixed seed gives the same result in every CI run.
TEST_GROUP(Commands)
{
    CommandRunner runner;

    void setup() override
    {
        setenv("RC_PARAMS", "seed=20261204 max_success=100", 1);
        runner.files["base"] = base;
        runner.files["overlay"] = overlay;
        runner.mock.otherReply = AdminReply { .status = 200, .body = "{}" };
    }
};

// Guards against requests that differ from the documented admin API.
TEST(Commands, SendTheDocumentedRequests)
{
    for (const auto& it : commandCases) {
        runner.mock.requests.clear();
        auto result = runner.runLine(it.line);
        LONGS_EQUAL_TEXT(0, result.status, (it.line + result.err).c_str());
        auto last = runner.mock.requests.back();
        STRCMP_EQUAL_TEXT(it.request, (last.method + " " + last.path).c_str(), it.line);
        STRCMP_EQUAL_TEXT(it.body, last.body.c_str(), it.line);
    }
}

// Guards against undocumented exit statuses, and against errors without a suggested action.
TEST(Commands, FailuresHaveDocumentedExitStatusAndSuggestedAction)
{
    const std::pair<const char*, int> expected[] = { { "unauthorized", 1 }, { "unknown-job", 1 },
        { "config-conflict", 4 }, { "renewal-conflict", 4 }, { "insufficient-capacity", 1 }, { "config-invalid", 2 },
        { "log-unavailable", 1 }, { "outcome-unknown", 1 }, { "something-new", 1 } };
    for (const auto& [type, status] : expected) {
        runner.mock.otherReply = AdminReply { .status = 400,
            .body = fmt::format(R"({{"type":"urn:bergamotbay:{}","detail":"the detail"}})", type) };
        auto result = runner.runLine("status");
        LONGS_EQUAL_TEXT(status, result.status, type);
        STRCMP_CONTAINS("the detail", result.err.c_str());
    }
    for (const auto& it : commandCases) {
        runner.mock.otherReply = AdminReply { .status = 401, .body = R"({"type":"urn:bergamotbay:unauthorized"})" };
        auto result = runner.runLine(it.line);
        LONGS_EQUAL_TEXT(1, result.status, it.line);
        STRCMP_CONTAINS("check that --token-file", result.err.c_str());
        runner.mock.otherReply = absl::UnavailableError("refused");
        LONGS_EQUAL_TEXT(3, runner.runLine(it.line).status, it.line);
    }
}

/// Generates JSON with the field names of the admin API and values of any type.
static Json arbitraryReply(int depth)
{
    static const std::vector<std::string> names { "version", "body", "members", "workers", "jobs", "clients", "leader",
        "log", "state", "next", "size", "attempts", "reasons", "entries", "time_ms", "config_version", "live", "member",
        "zones", "problems", "policy", "regions" };
    switch (*rc::gen::inRange(0, depth > 0 ? 6 : 4)) {
    case 0:
        return *rc::gen::arbitrary<int64_t>();
    case 1:
        return *rc::gen::arbitrary<std::string>();
    case 2:
        return *rc::gen::arbitrary<bool>();
    case 3:
        return nullptr;
    case 4: {
        auto list = Json::array();
        for (auto n = *rc::gen::inRange(0, 4); n > 0; --n)
            list.push_back(arbitraryReply(depth - 1));
        return list;
    }
    default: {
        auto object = Json::object();
        for (auto n = *rc::gen::inRange(0, 8); n > 0; --n)
            object[*rc::gen::elementOf(names)] = arbitraryReply(depth - 1);
        return object;
    }
    }
}

// Guards against crashes on replies of another release, whose fields are missing or have other types.
TEST(Commands, AnyReplyIsHandled)
{
    CHECK(rc::check([&] {
        auto body = arbitraryReply(3).dump(-1, ' ', false, Json::error_handler_t::replace);
        runner.mock.otherReply = AdminReply { .status = *rc::gen::element(200, 409, 422, 500), .body = body };
        auto isPublish = *rc::gen::inRange(0, 4) == 0;
        auto index = *rc::gen::inRange<size_t>(0, std::size(commandCases));
        auto status
            = runner.runLine(isPublish ? "publish base overlay --based-on 1 --wait" : commandCases[index].line).status;
        RC_ASSERT(status >= 0 && status <= 4);
    }));
    for (const char* body : { "", "[]", "{", "\xff\xfe" }) {
        runner.mock.otherReply = AdminReply { .status = 200, .body = body };
        LONGS_EQUAL(1, runner.runLine("status").status);
    }
}

// Guards against JSON output that does not parse.
TEST(Commands, JsonOutputIsJson)
{
    for (const auto& it : commandCases) {
        auto result
            = runner.runLine("--output=json " + std::string(it.line).substr(0, std::string(it.line).find(" --output")));
        CHECK_TEXT(Json::accept(result.out), it.line);
    }
    for (const char* line :
        { "keys --output json", "effective base overlay --output json", "validate base --output json" })
        CHECK_TEXT(Json::accept(runner.runLine(line).out), line);
    runner.files["overlay"] = "[policy]\nqueue_limits = 1\n";
    auto result = runner.runLine("validate base overlay --output json");
    LONGS_EQUAL(2, result.status);
    auto finding = Json::parse(result.out)["findings"][0];
    CHECK(finding["file"] == "overlay" && finding["line"] == 2 && finding["key"] == "policy.queue_limits");
}

// Guards against a status output that omits leadership, log, configuration, zones or problems.
TEST(Commands, StatusIsReadable)
{
    runner.mock.addReply("GET /admin/status", 200,
        R"({"member":"e1","region":"main","zone":"a","ready":true,"authority":false,"leader":{"member":""},
            "log":{"reachable":false,"position":5,"age_ms":9000},"config":{"version":12,"author":"anna"},
            "members":[{"member":"e1","zone":"a","live":true,"config_version":12}],
            "zones":[{"zone":"b","out":true,"workers":16,"usable":0}],"problems":["the log does not answer"]})");
    auto result = runner.runLine("status");
    for (const char* line : { "entry host e1 (region main, zone a): ready, without authority\n", "leader: none known\n",
             "log: not reachable, position 5, read 9000 ms ago\n", "configuration: version 12 by anna\n",
             "b     out    16       0\n", "problem: the log does not answer\n" })
        STRCMP_CONTAINS(line, result.out.c_str());
}

// Guards against renewing twice when a request is repeated, and against a conflict that does not report the terms in
// force.
TEST(Commands, RenewalSendsItsNumber)
{
    runner.mock.addReply("GET /admin/terms", 200, R"({"clients":[{"client":"c","renewal":4}]})");
    runner.mock.addReply("POST /admin/terms/c/renew", 409,
        R"({"type":"urn:bergamotbay:renewal-conflict","renewal":5,"requests_per_second":70,"concurrency":6})");
    auto result = runner.runLine("terms renew c");
    LONGS_EQUAL(4, result.status);
    STRCMP_EQUAL(R"({"renewal":5})", runner.mock.requests.back().body.c_str());
    CHECK_FALSE(runner.mock.requests.back().isRetryable);
    STRCMP_CONTAINS("Client c has renewal 5: 70 requests/s, 6 requests in progress.", result.err.c_str());
    LONGS_EQUAL(1, runner.runLine("terms renew nobody").status);
}

// Guards against sending requests of invalid command lines.
TEST(Commands, InvalidUsageIsRejected)
{
    for (const char* line :
        { "", "frob", "zone sideways a", "status --entry localhost:1", "status --entry 1.2.3.4:1,,1.2.3.4:2",
            "status --output xml", "status --token-file missing", "job list --limit -1", "job list --limit 1x",
            "config show next", "burn --format pdf", "publish base overlay --based-on x", "validate missing",
            "validate base --capacity a", "terms renew c --renewal 99999999999999999999" }) {
        auto result = runner.runLine(line);
        LONGS_EQUAL_TEXT(2, result.status, line);
        CHECK_TEXT(!result.err.empty() && result.out.empty(), line);
    }
    runner.files["token"] = "a\r\nX-Other: b";
    LONGS_EQUAL(2, runner.runLine("status").status);
    LONGS_EQUAL(0, runner.mock.requests.size());
}

// Guards against losing an address of the list of entry hosts, and against white space in the token.
TEST(Commands, EntriesAndTokenArePassedOn)
{
    LONGS_EQUAL(0, runner.runLine("status --entry 10.0.0.1:1,[::1]:2").status);
    CHECK(runner.lastOptions.entries == (std::vector<std::string> { "10.0.0.1:1", "[::1]:2" }));
    STRCMP_EQUAL("secret", runner.lastOptions.token.c_str());
}

// Guards against examples in the help text that do not parse.
TEST(Commands, ExamplesOfTheHelpTextParse)
{
    std::istringstream help(runner.runLine("--help").out);
    int examples = 0;
    for (std::string line; std::getline(help, line);) {
        const std::string prefix = "  bergamotctl ";
        if (examples == 0 && line != "Examples:")
            continue;
        if (line.starts_with(prefix)) {
            auto result = runner.runLine(line.substr(prefix.size()));
            CHECK_TEXT(result.err.find("wrong usage") == std::string::npos, line.c_str());
        }
        ++examples;
    }
    CHECK(examples > 5);
}
