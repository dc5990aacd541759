#include <CppUTest/TestHarness.h>
#include <LibHttp/HttpEngine.h>
#include <LibHttp/HttpServer.h>
#include <fmt/format.h>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <platform/PlatformJson.h>
#include <platform/PlatformStore.h>
#include <platform/PlatformWorkers.h>
#include <random>
#include <string>

using namespace Bergamot;
using nlohmann::json;

/// Passes randomly corrupted bodies to the decoders of the platform adapter. The seed is fixed.
TEST_GROUP(PlatformMutations)
{
    std::mt19937 random { 20261204 };

    /// Replaces or removes a value at any depth.
    void mutate(json & value)
    {
        static const std::vector<json> replacements { nullptr, true, -1, 1e300, 18446744073709551615U, "", "text",
            json::array(), json::object(), json::array({ 1, "x" }), std::string(300, 'k') };
        if (value.is_structured() && !value.empty() && random() % 4 != 0) {
            auto it = value.begin();
            std::advance(it, static_cast<std::ptrdiff_t>(random() % value.size()));
            if (random() % 8 == 0)
                value.erase(it);
            else
                mutate(*it);
            return;
        }
        value = replacements[random() % replacements.size()];
    }

    std::string mutated(const std::string& body)
    {
        auto value = json::parse(body);
        for (uint32_t n = 1 + random() % 3; n > 0; --n)
            mutate(value);
        auto text = value.dump(-1, ' ', false, json::error_handler_t::replace);
        // Corrupts single bytes and truncates the text as well, not only JSON values.
        if (random() % 4 == 0 && !text.empty())
            text[random() % text.size()] = static_cast<char>(random());
        if (random() % 8 == 0)
            text.resize(random() % (text.size() + 1));
        return text;
    }
};

// Guards against a crash of the process on a malformed record of another writer or on a malformed job submission.
TEST(PlatformMutations, RecordsAndJobsAreReadOrRejected)
{
    Platform::PlatformJson formats;
    const std::string job
        = R"({"spec":"s","repeatCount":2,"startAtMs":5,"intervalMs":7,"steps":[{"count":4,"cpu":500,)"
          R"("memMb":256,"estRuntimeMs":900,"affinity":"r1-3"},{"count":2,"dependsOn":[0],"gang":true}]})";
    const std::string worker
        = R"({"service":"s","addr":"1.2.3.4:5","zone":"z","version":"v1","slots":8,"state":"ready",)"
          R"("coldLeftMs":3,"capacity":{"cpu":1000,"memMb":5,"gpu":0},"labels":["a","r1"],"born":7,"seq":4})";
    const std::string config
        = R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s",)"
          R"("priority":1,"maxAttempts":3,"stretch":1.5,"targetLatencyMs":9}],"limits":{"maxBodyBytes":5}})";
    constexpr int rounds = 4000;
    int read = 0;
    for (int i = 0; i < rounds; ++i) {
        read += formats.readJob(mutated(job)).ok() ? 1 : 0;
        read += formats.readWorkerRecord({ .key = "w", .value = mutated(worker) }).ok() ? 1 : 0;
        read += formats.readOperatorRecord({ .key = "config", .value = mutated(config) }).ok() ? 1 : 0;
    }
    CHECK(read > 0);
    CHECK(read < 3 * rounds);
}

// Guards against a crash of the process on a malformed reply of a worker or of the store.
TEST(PlatformMutations, RepliesAreDecodedOrRejected)
{
    HttpResponse response;
    auto server = HttpServer::create(
        { .handler = [&](const HttpRequest&, HttpResponder responder) { responder.send(response); } });
    CHECK(server.ok());
    auto engine = HttpEngine::create({});
    auto address = fmt::format("127.0.0.1:{}", (*server)->port());
    Platform::PlatformWorkers workers(*engine);
    Platform::PlatformStore store(*engine, { .address = address });
    const std::string renewalReply
        = R"({"clockMs":5,"born":3,"running":[["j.0.1.2",3,"cp",41,18]],"finished":[[58,"j.0.1.9",1,"lapsed","s"]]})";
    const std::string newestReply = R"({"items":[{"key":"k","value":"YWI=","offset":3}],"more":false,"end":4})";
    const std::string appendReply = R"({"offset":3,"end":4,"reason":"fenced"})";
    constexpr int rounds = 400;
    const std::array<int, 4> statuses { 200, 200, 409, 410 };
    for (int i = 0; i < rounds; ++i) {
        response.status = statuses[random() % statuses.size()];
        std::promise<void> done;
        auto finish = [&](const auto&) { done.set_value(); };
        switch (i % 4) {
        case 0:
            response.body = mutated(renewalReply);
            workers.renewLease({ .id = "w", .address = address }, 7, {}, finish);
            break;
        case 1:
            response.body = mutated(newestReply);
            store.readNewest(StreamName::Jobs, 0, {}, Milliseconds { 1000 }, finish);
            break;
        case 2:
            response.body = mutated(appendReply);
            store.append(
                { .stream = StreamName::Leadership, .records = { { .value = "v" } } }, Milliseconds { 1000 }, finish);
            break;
        default:
            // The reply to a read is binary: the end offset, the first retained offset, and length-prefixed records.
            response.body = std::string(random() % 40, static_cast<char>(random() % 3));
            store.read(StreamName::Jobs, 0, 0, Milliseconds { 0 }, finish);
        }
        done.get_future().get();
    }
}
