#include <CppUTest/TestHarness.h>
#include <platform/PlatformJson.h>
#include <set>
#include <string>

using namespace Bergamot;

TEST_GROUP(PlatformJson)
{
    Platform::PlatformJson formats;

    std::string errorMessageFor(const std::string& body) const
    {
        auto job = formats.readJob(body);
        if (job.ok())
            return "accepted";
        return { job.status().message().data(), job.status().message().size() };
    }
};

// Guards against job fields that are dropped or swapped when the platform's field names are translated.
TEST(PlatformJson, AllJobFieldsAreRead)
{
    auto job = formats.readJob(R"({"spec":"run this","repeatCount":3,"startAtMs":5000,"intervalMs":700,"steps":[
        {"count":4,"cpu":500,"memMb":256,"gpu":1,"estRuntimeMs":900,"affinity":"r1-3","constraints":"a","antiAffinity":2},
        {"count":2,"cpu":100,"memMb":10,"dependsOn":[0],"checkpointing":true,"speculative":true,"gang":true,"sameRack":true,
         "longRunning":true,"fills":true,"image":"img","targetMs":18,"mayMiss":1}]})");
    CHECK(job.ok());
    STRCMP_EQUAL("run this", job->payload.c_str());
    CHECK_EQUAL(3, job->repeats);
    CHECK_EQUAL(5000, job->firstDueMs);
    CHECK_EQUAL(700, job->intervalMs);
    StepSpec first { .count = 4,
        .size = { 500, 256, 1 },
        .estimateMs = 900,
        .requiredLabel = "a",
        .dataRack = "r1-3",
        .maxPerWorker = 2 };
    CHECK(job->steps[0] == first);
    StepSpec second { .count = 2,
        .size = { 100, 10, 0 },
        .dependsOn = { 0 },
        .gang = true,
        .prefersSameRack = true,
        .speculative = true,
        .checkpointing = true,
        .longRunning = true,
        .bestEffort = true,
        .image = "img",
        .targetLatencyMs = 18,
        .maxUnavailable = 1 };
    CHECK(job->steps[1] == second);
}

// Guards against invalid job submissions that crash the node or are accepted, and against errors that do not name the
// invalid field.
TEST(PlatformJson, RejectedJobsNameTheInvalidField)
{
    for (const auto* body :
        { "", "{", "[]", "7", "null", "\"x\"", "{\"steps\":{}}", "{\"steps\":[]}", "{\"steps\":[7]}" })
        CHECK_TEXT(errorMessageFor(body) != "accepted", body);
    STRCMP_EQUAL("steps[0].count: must be at least 1", errorMessageFor(R"({"steps":[{"cpu":5}]})").c_str());
    STRCMP_EQUAL("steps[0].cpu: out of range", errorMessageFor(R"({"steps":[{"count":1,"cpu":-5}]})").c_str());
    STRCMP_EQUAL("steps[0].cpu: not an integer", errorMessageFor(R"({"steps":[{"count":1,"cpu":"5"}]})").c_str());
    STRCMP_EQUAL("steps[0].dependsOn: not the index of an earlier step",
        errorMessageFor(R"({"steps":[{"count":1,"dependsOn":[0]}]})").c_str());
    // A job with this many tasks would exhaust the leader's memory.
    STRCMP_EQUAL("steps: more than 50000 tasks including repeats",
        errorMessageFor(R"({"repeatCount":100000,"steps":[{"count":10000}]})").c_str());
    STRCMP_EQUAL("steps[0].gang: not a boolean", errorMessageFor(R"({"steps":[{"count":1,"gang":1}]})").c_str());
    STRCMP_EQUAL("spec: too long",
        errorMessageFor(R"({"spec":")" + std::string(4001, 'x') + R"(","steps":[{"count":1}]})").c_str());
    STRCMP_EQUAL("accepted", errorMessageFor(R"({"steps":[{"count":1}],"unknown":{}})").c_str());
}

// Guards against records of other writers that crash the node or are accepted as workers.
TEST(PlatformJson, WorkerRecordsAreReadOrRejected)
{
    std::string entry = R"({"service":"s","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"draining",
        "coldLeftMs":5,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"clockMs":1,"seq":4,"born":77})";
    auto worker = formats.readWorkerRecord({ .key = "i-1", .value = entry });
    CHECK(worker.ok());
    STRCMP_EQUAL("i-1", worker->view.id.c_str());
    CHECK(worker->view.draining);
    CHECK_EQUAL(77, worker->startedAtMs);
    CHECK((worker->view.capacity == Resources { 16000, 32768, 0 }));
    CHECK_EQUAL(2, worker->view.labels.size());
    for (const auto* other :
        { "", "\xff\x00", "{}", "[1]", R"({"service":"s","addr":"a:1","zone":"z","state":"odd","capacity":{}})",
            R"({"service":"s","addr":"a:1","zone":"z","state":"ready","capacity":7})",
            R"({"service":3,"addr":"a:1","zone":"z","state":"ready","capacity":{"cpu":1,"memMb":1}})" })
        CHECK_FALSE(formats.readWorkerRecord({ .key = "i-2", .value = other }).ok());
    // The same with nothing else amiss.
    auto isReadWith = [&](const std::string& part, const std::string& replacement) {
        auto other = entry;
        other.replace(other.find(part), part.size(), replacement);
        return formats.readWorkerRecord({ .key = "i-2", .value = other }).ok();
    };
    CHECK(isReadWith(R"("draining")", R"("ready")"));
    CHECK_FALSE(isReadWith(R"("draining")", R"("odd")"));
    CHECK_FALSE(isReadWith(R"({"cpu":16000,"memMb":32768,"gpu":0})", "7"));
    CHECK_FALSE(isReadWith(R"("service":"s")", R"("service":3)"));
}

// Guards against a capacity that is read once: a worker may announce another one while it runs, also only less
// memory, and none at all.
TEST(PlatformJson, ChangedCapacityIsRead)
{
    auto capacityOf = [this](const std::string& capacity) {
        auto worker = formats.readWorkerRecord({ .key = "i-1",
            .value = R"({"service":"s","addr":"a:1","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":0,
                "labels":["a","r1-3"],"seq":4,"born":77,"capacity":)"
                + capacity + "}" });
        CHECK(worker.ok());
        CHECK_EQUAL(77, worker->startedAtMs);
        return worker->view.capacity;
    };
    CHECK((capacityOf(R"({"cpu":16000,"memMb":32768,"gpu":2})") == Resources { 16000, 32768, 2 }));
    CHECK((capacityOf(R"({"cpu":7000,"memMb":32768,"gpu":2})") == Resources { 7000, 32768, 2 }));
    CHECK((capacityOf(R"({"cpu":16000,"memMb":900,"gpu":2})") == Resources { 16000, 900, 2 }));
    CHECK((capacityOf(R"({"cpu":16000,"memMb":32768})") == Resources { 16000, 32768, 0 }));
    CHECK((capacityOf(R"({"cpu":0,"memMb":0,"gpu":0})") == Resources {}));
}

// Guards against a configuration or a zone evacuation of the operators that is decoded incorrectly.
TEST(PlatformJson, OperatorRecordsAreRead)
{
    auto change = formats.readOperatorRecord({ .key = "config",
        .value = R"({"version":7,"routes":[{"name":"q","host":"h","pathPrefix":"/p/","service":"s","priority":2,
            "maxAttempts":3,"stretch":1.5,"targetLatencyMs":250}],"services":[{"name":"s"},{"name":"t"}],"limits":{"maxBodyBytes":1000,
            "maxHeaderBytes":8192,"headerTimeoutMs":700,"idleTimeoutMs":9000}})" });
    CHECK(change.ok());
    const auto& table = std::get<RoutingTable>(*change);
    CHECK_EQUAL(7, table.version);
    CHECK_EQUAL(1000, table.maxBodyBytes);
    CHECK_EQUAL(8192, table.maxHeaderBytes);
    CHECK_EQUAL(700, table.headerTimeout.count());
    CHECK_EQUAL(9000, table.idleTimeout.count());
    QueuePolicy policy { .service = "s", .priority = 2, .maxAttempts = 3, .stretch = 1.5, .targetLatencyMs = 250 };
    CHECK(table.routes[0].policy == policy);
    CHECK((table.services == std::set<std::string> { "s", "t" }));
    auto out = formats.readOperatorRecord({ .key = "evacuate/riga-a", .value = "{}" });
    CHECK((std::get<ZoneOut>(*out) == ZoneOut { "riga-a", true }));
    auto back = formats.readOperatorRecord({ .key = "evacuate/riga-a" });
    CHECK((std::get<ZoneOut>(*back) == ZoneOut { "riga-a", false }));
    CHECK_FALSE(formats.readOperatorRecord({ .key = "config", .value = "{\"version\":" }).ok());
    CHECK(std::holds_alternative<UnknownChange>(*formats.readOperatorRecord({ .key = "wave/1", .value = "{}" })));
}
