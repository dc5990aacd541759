#include "CommandRunner.h"
#include <CppUTest/TestHarness.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace Bergamot;
using Json = nlohmann::json;

static std::string body(int queueLimit, int headroom = 10)
{
    return fmt::format(
        R"({{"regions":{{"main":{{"zones":["a","b"]}}}},"policy":{{"queue_limit":{},"headroom_percent":{}}}}})",
        queueLimit, headroom);
}

static std::string configReply(int version, const std::string& author, const std::string& body)
{
    return fmt::format(
        R"({{"version":{},"based_on":{},"author":"{}","time_ms":0,"body":{}}})", version, version - 1, author, body);
}

static std::string statusReply(int own, int peer, bool peerIsLive = true)
{
    return fmt::format(R"({{"members":[{{"member":"e1","live":true,"config_version":{}}},)"
                       R"({{"member":"e2","live":{},"config_version":{}}}]}})",
        own, peerIsLive, peer);
}

static const char* const conflict
    = R"({"type":"urn:bergamotbay:config-conflict","status":409,"version":8,"author":"boris",)"
      R"("body":{"regions":{"main":{"zones":["a","b"]}},"policy":{"headroom_percent":30}}})";

/// Version 7 is in force with queue_limit 256; the operator's files set it to 300.
TEST_GROUP(Publish)
{
    CommandRunner runner;

    void setup() override
    {
        runner.files["base"] = "[regions.main]\nzones = [\"a\", \"b\"]\n[policy]\nqueue_limit = 256\n";
        runner.files["overlay"] = "[policy]\nqueue_limit = 300\n";
        runner.mock.addReply("GET /admin/config", 200, configReply(7, "anna", body(256)));
        runner.mock.addReply("GET /admin/config?version=7", 200, configReply(7, "anna", body(256)));
        runner.mock.addReply("GET /admin/state", 200, R"({"workers":[]})");
        runner.mock.addReply("GET /admin/terms", 200, R"({"clients":[]})");
    }

    CommandRunner::Result publish(const std::string& more = "")
    {
        return runner.runLine("publish base overlay --based-on 7 " + more);
    }

    size_t posts() const { return runner.mock.bodiesOf("POST /admin/config").size(); }
};

// Guards against a publish that is not based on the named version or lacks its author.
TEST(Publish, SendsTheEffectiveConfiguration)
{
    runner.mock.addReply("POST /admin/config", 200, R"({"version":8,"based_on":7})");
    auto result = publish();
    LONGS_EQUAL(0, result.status);
    STRCMP_EQUAL("Published version 8:\n  policy.queue_limit: 256 -> 300\n", result.out.c_str());
    auto sent = Json::parse(runner.mock.bodiesOf("POST /admin/config").at(0));
    CHECK(sent["based_on"] == 7 && sent["author"] == "anna" && sent["body"]["policy"]["queue_limit"] == 300);
    LONGS_EQUAL(3, sent.size());
    CHECK_FALSE(runner.mock.requests.back().isRetryable);
}

// Guards against overwriting a change that was published after the base version.
TEST(Publish, OutdatedBaseVersionReportsTheDifference)
{
    runner.mock.replies["GET /admin/config"].clear();
    runner.mock.addReply("GET /admin/config", 200, configReply(8, "boris", body(256, 30)));
    auto result = publish();
    LONGS_EQUAL(4, result.status);
    LONGS_EQUAL(0, posts());
    STRCMP_CONTAINS(
        "Changes from version 7 to version 8 by boris:\n  policy.headroom_percent: 10 -> 30\n", result.err.c_str());
    STRCMP_CONTAINS("version 8 as follows:\n  policy.headroom_percent: 30 -> 10\n  policy.queue_limit: 256 -> 300\n",
        result.err.c_str());
    STRCMP_CONTAINS("publish with --based-on 8", result.err.c_str());
}

// Guards against a conflict that arises between the read and the append and is reported without the difference.
TEST(Publish, ConflictingPublishReportsTheDifference)
{
    runner.mock.addReply("POST /admin/config", 409, conflict);
    auto result = publish("--output json");
    LONGS_EQUAL(4, result.status);
    auto detail = Json::parse(result.out);
    CHECK(detail["version_in_force"] == 8 && detail["author"] == "boris");
    CHECK(detail["other_changes"] == Json::parse(R"([{"key":"policy.headroom_percent","before":10,"after":30}])"));
    LONGS_EQUAL(2, detail["own_changes"].size());
}

// Guards against reporting a failure, or the success of another operator, when the reply to the append is lost.
TEST(Publish, LostReplyIsResolvedFromTheLog)
{
    runner.mock.replies["POST /admin/config"].push_back(absl::DeadlineExceededError("lost"));
    runner.mock.addReply("GET /admin/config?version=8", 404, "{}");
    runner.mock.addReply("GET /admin/config?version=8", 200, configReply(8, "anna", body(300)));
    LONGS_EQUAL(0, publish().status);
    LONGS_EQUAL(1, posts());

    runner.mock.replies["GET /admin/config?version=8"].clear();
    runner.mock.addReply("GET /admin/config?version=8", 200, configReply(8, "boris", body(300)));
    LONGS_EQUAL(4, publish().status);

    runner.mock.replies["GET /admin/config?version=8"].clear();
    runner.mock.addReply("GET /admin/config?version=8", 404, "{}");
    auto result = publish();
    LONGS_EQUAL(1, result.status);
    STRCMP_CONTAINS("the reply was lost and version 8 is not in the log; it may still be appended", result.err.c_str());
    STRCMP_CONTAINS("waiting for version 8, whose reply was lost (2 s)", result.err.c_str());
}

// Guards against a wait that returns before every live host reports the version, or that waits for a host that is down.
TEST(Publish, WaitReturnsWhenEveryLiveHostReportsTheVersion)
{
    runner.mock.addReply("POST /admin/config", 200, "{}");
    runner.mock.addReply("GET /admin/status", 200, statusReply(8, 7));
    runner.mock.addReply("GET /admin/status", 200, statusReply(8, 7));
    runner.mock.addReply("GET /admin/status", 200, statusReply(8, 8));
    auto result = publish("--wait");
    LONGS_EQUAL(0, result.status);
    LONGS_EQUAL(3, runner.mock.bodiesOf("GET /admin/status").size());
    STRCMP_CONTAINS("In force on 2 entry hosts.", result.out.c_str());

    runner.mock.replies["GET /admin/status"].clear();
    runner.mock.addReply("GET /admin/status", 200, statusReply(9, 0, false));
    LONGS_EQUAL(0, publish("--wait").status);
}

// Guards against a wait that does not name the hosts with an older version.
TEST(Publish, WaitNamesTheHostsThatDoNotReport)
{
    runner.mock.addReply("POST /admin/config", 200, "{}");
    runner.mock.addReply("GET /admin/status", 200, statusReply(8, 7));
    auto result = publish("--wait --timeout 5");
    LONGS_EQUAL(1, result.status);
    STRCMP_CONTAINS("waiting for version 8 on e2 (2 s)\nwaiting for version 8 on e2 (4 s)\n", result.err.c_str());
    STRCMP_CONTAINS("not in force on: e2\n", result.err.c_str());
    LONGS_EQUAL(11, runner.mock.bodiesOf("GET /admin/status").size());

    runner.mock.replies["GET /admin/status"] = { absl::UnavailableError("gone") };
    LONGS_EQUAL(3, publish("--wait --output json").status);
}

// Guards against publishing a version without changes, and against publishing without a base version.
TEST(Publish, NothingIsSentWithoutChangeOrVersion)
{
    auto result = runner.runLine("publish base overlay");
    LONGS_EQUAL(2, result.status);
    STRCMP_CONTAINS("version 7 is in force", result.err.c_str());
    runner.files["overlay"] = "";
    STRCMP_CONTAINS("nothing was published", publish().out.c_str());
    LONGS_EQUAL(0, posts());
}

// Guards against publishing guarantees that exceed the capacity of the workers in the host list, renewed terms
// included.
TEST(Publish, TermsMustFitTheHostList)
{
    runner.files["base"] += "[services.s]\nslots_per_worker = 8\nconnections_per_worker = 8\ntimeout_ms = 9\n"
                            "latency_target_ms = 9\ncpu_millis = 1\nmemory_mb = 1\n"
                            "[clients.c]\nrequests_per_second = 1\nconcurrency = 8\nservices = [\"s\"]\n";
    runner.mock.addReply("POST /admin/config", 200, "{}");
    auto setWorkers = [&](const char* second) {
        runner.mock.replies["GET /admin/state"].clear();
        runner.mock.addReply("GET /admin/state", 200,
            fmt::format(R"({{"workers":[{{"zone":"a","state":"live"}},{{"zone":"b","state":"{}"}}]}})", second));
    };
    setWorkers("gone");
    auto result = publish();
    LONGS_EQUAL(2, result.status);
    STRCMP_CONTAINS("clients: 8 requests in progress are guaranteed for s, but only 0 slots", result.err.c_str());
    setWorkers("leaving");
    LONGS_EQUAL(0, publish().status);
    runner.mock.replies["GET /admin/terms"].clear();
    runner.mock.addReply(
        "GET /admin/terms", 200, R"({"clients":[{"client":"c","renewal":1,"requests_per_second":1,"concurrency":9}]})");
    LONGS_EQUAL(2, publish().status);
    LONGS_EQUAL(1, posts());
}

// Guards against omitting the findings that the daemon reports.
TEST(Publish, FindingsOfTheDaemonAreShown)
{
    runner.mock.addReply("POST /admin/config", 422,
        R"({"type":"urn:bergamotbay:config-invalid","findings":[{"key":"clients","message":"do not fit"}]})");
    auto result = publish();
    LONGS_EQUAL(2, result.status);
    STRCMP_CONTAINS("clients: do not fit\n", result.err.c_str());
}
