#include "NodeDecoders.h"
#include <LibWire/AssignedWorkers.h>
#include <LibWire/Codec.h>
#include <LibWire/JobProgress.h>
#include <LibWire/JobSpec.h>
#include <LibWire/LeadershipRecord.h>
#include <LibWire/PressureRecord.h>
#include <LibWire/UnansweredStarts.h>
#include <LibWire/ValueCodec.h>
#include <fmt/format.h>
#include <limits>

namespace Bergamot {

/// Hostile values that are tried at each place of a JSON document where "@" stands.
static std::vector<std::string> hostileValues()
{
    return { "-1", "9223372036854775807", "9223372036854775808", "18446744073709551615", "4294967296", "1e300", "1e999",
        "null", "true", "\"\"", "\"\xff\"", "\"\\ud800\"", "{}", "[]", std::string(40, '[') };
}

static std::vector<std::string> validInputs(size_t decoder)
{
    using namespace std::string_literals;
    const JobSpec job { .id = "5c0e7a21d94b36f8",
        .queue = "q",
        .payload = "p",
        .steps = { { .count = 2, .size = { 500, 256, 0 } }, { .count = 2, .dependsOn = { 0 }, .gang = true } },
        .repeats = 2,
        .firstDueMs = 5,
        .intervalMs = 7,
        .policyAtAcceptance = QueuePolicy { .service = "s" } };
    switch (decoder) {
    case 0:
        return {
            R"({"spec":"s","repeatCount":2,"startAtMs":5,"intervalMs":7,"steps":[{"count":4,"cpu":500,"memMb":256,)"
            R"("affinity":"r1"},{"count":2,"gang":true,"dependsOn":[0]}]})"
        };
    case 1:
        return {
            R"({"version":7,"routes":[{"name":"q","host":"h","pathPrefix":"/p/","service":"s","priority":1,)"
            R"("maxAttempts":3,"stretch":1.5,"targetLatencyMs":9}],"limits":{"maxBodyBytes":5,"idleTimeoutMs":9}})"
        };
    case 2:
        return { "evacuate/z", "config", "" };
    case 3:
        return { R"({"service":"s","addr":"1.2.3.4:5","zone":"z","version":"v1","slots":8,"state":"ready","seq":4,)"
                 R"("coldLeftMs":3,"capacity":{"cpu":1000,"memMb":5,"gpu":0},"labels":["a","r1"],"born":7})" };
    case 4:
        return {
            R"({"clockMs":5,"born":3,"running":[["j.0.1.2",3,"cp",41,18]],"finished":[[58,"j.0.1.9",1,"done",""]]})",
            R"({"running":[["j.0.1.2",3,"cp",41,18],["j.1.0.0",4,"",9,0],["j.0.2.1",5,"c",3,1],["j.0.3.0",6,"",100,7]],)"
            R"("finished":[[58,"j.0.1.2",3,"failed",""],[59,"j.0.2.1",5,"broken","c"],[60,"j.1.0.0",4,"done",""]]})"
        };
    case 5:
        return { R"({"clockMs":5,"born":3,"reason":"fence"})" };
    case 6:
        return { R"({"offset":3,"end":4,"reason":"fenced"})" };
    case 7:
        return { "\0\0\0\0\0\0\x03\x4a\0\0\0\0\0\0\0\x05\0\0\0\x04\x01kva\0\0\0\x02\x01k"s,
            "\0\0\0\0\0\0\x03\x4a\0\0\0\0\0\0\0\x05\xff\xff\xff\xff\x01k"s };
    case 8:
        return { R"({"first":900})" };
    case 9:
        return { R"({"items":[{"key":"k","value":"YWI=","offset":3}],"more":true,"end":4})" };
    case 10:
        return { encodeValue(job) };
    case 11:
        return { encodeValue(JobProgress { .id = "j",
            .state = JobStage::Running,
            .done = { "101", "00" },
            .failedRuns = { { 0, 0, 1, 5 }, { 0, 1, 0, std::numeric_limits<uint64_t>::max() } } }) };
    case 12:
        return { encodeValue(AssignedWorkers { .workers = { { "w", "1.2.3.4:5", 7 }, { "", "", -1 } } }) };
    case 13:
        return { encodeValue(PressureRecord { .baseTailLatencies = { { "a", 18 } }, .pairs = { { "b", "a", 0.5 } } }) };
    case 14:
        return { encodeValue(LeadershipRecord { .member = "m", .incarnation = 9, .epoch = 3, .cpuMillis = 500 }) };
    case 15:
        return { encodePeerMessage(JobQuery { .queryId = 3, .replyAddress = "a", .subject = "j" }),
            encodePeerMessage(JobQueryReply { .queryId = 3, .state = JobStage::Failed }) };
    case 16:
        return {
            "node=\"n\"\nzone=\"z\"\nip=\"10.0.0.1\"\nlisten={front=\"a:1\",ready=\"a:2\"}\nplatform={addr=\"a:3\"}\n"
            "portRange=[7720,7735]\nheartbeatMs=1500\nbounds={holdMaxMs=10000,graceS=6}\nlimits={maxFds=4100,"
            "cpuShare=0.5,cores=2}\n"
        };
    case 17:
        return { "5c0e7a21d94b36f8.0.1.17", "j.0.1.99999999999", "....", "\xff.0.0.0" };
    case 18:
        return { "POST /p/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: h\r\nX-Bergamotbay-Deadline-Ms: 99\r\nContent-Length: "
                 "2\r\n\r\n{}",
            "GET /p/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n" };
    default:
        return { encodeValue(UnansweredStarts { .starts = { { .epoch = 3,
                                                    .worker = "w",
                                                    .workerStartedAtMs = 7,
                                                    .job = "j",
                                                    .step = 1,
                                                    .index = std::numeric_limits<uint32_t>::max(),
                                                    .run = 300'001 } } }) };
    }
}

/// Values that can be encoded and decoded, and that no node may use.
static std::vector<std::string> hostileRecords(size_t decoder)
{
    constexpr auto max32 = std::numeric_limits<uint32_t>::max();
    constexpr auto max64 = std::numeric_limits<int64_t>::max();
    constexpr auto notANumber = std::numeric_limits<double>::quiet_NaN();
    const JobSpec job { .id = "j", .queue = "q", .payload = "p", .steps = { { .count = 1 } } };
    auto withChange = [&](auto change) {
        auto changed = job;
        change(changed);
        return encodeValue(changed);
    };
    switch (decoder) {
    case 10:
        return { withChange([](JobSpec& it) { it.steps[0].count = max32; }),
            withChange([](JobSpec& it) { it.repeats = max32; }), withChange([](JobSpec& it) { it.payload = "\xff"; }),
            withChange([](JobSpec& it) { it.steps[0].size.cpuMillis = -max64; }), withChange([](JobSpec& it) {
                it.steps[0].dependsOn = { 0, max32 };
            }),
            withChange([](JobSpec& it) {
                it.repeats = 3;
                it.firstDueMs = max64;
                it.intervalMs = max64;
            }),
            withChange([](JobSpec& it) { it.policyAtAcceptance = QueuePolicy { .stretch = notANumber }; }) };
    case 11:
        return { encodeValue(JobProgress { .id = "j", .done = { "11111", "1" }, .failedRuns = { { 0, 0, max32, 1 } } }),
            encodeValue(JobProgress { .id = "j", .failedRuns = { { 0, max32, 0, 1 }, { max32, 0, 0, 1 } } }),
            encodeValue(JobProgress { .id = "j",
                .done = { "1", "111", "", "11", "1" },
                .endedOccurrences = { { 1, max32 }, { max32, max32 } },
                .doneOccurrences = { 0, 0, max32 } }) };
    case 13:
        return { encodeValue(PressureRecord { .baseTailLatencies = { { "a", notANumber } } }),
            encodeValue(
                PressureRecord { .baseTailLatencies = { { "a", 5 } }, .pairs = { { "b", "a", notANumber } } }) };
    case 14:
        return { encodeValue(LeadershipRecord { .member = "m", .cpuMillis = max64 }),
            encodeValue(LeadershipRecord { .member = "m", .cpuMillis = -1 }) };
    default:
        return {};
    }
}

/// Replaces one number of the text at a time with each hostile value.
static std::vector<std::string> withHostileNumbers(const std::string& text)
{
    std::vector<std::string> result;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] != ':' || i + 1 == text.size() || !std::isdigit(static_cast<unsigned char>(text[i + 1])))
            continue;
        auto end = text.find_first_not_of("0123456789.", i + 1);
        for (const auto& value : hostileValues())
            result.push_back(text.substr(0, i + 1) + value + text.substr(std::min(end, text.size())));
    }
    return result;
}

std::vector<std::pair<std::string, std::string>> nodeDecoderSeeds()
{
    std::vector<std::pair<std::string, std::string>> seeds;
    for (size_t decoder = 0; decoder < nodeDecoderCount(); ++decoder) {
        const std::string selector(1, static_cast<char>(decoder));
        int n = 0;
        auto add = [&](const std::string& input) {
            seeds.emplace_back(fmt::format("{:02}-{:03}", decoder, n++), selector + input);
        };
        auto valid = validInputs(decoder);
        for (const auto& input : valid) {
            add(input);
            add(input.substr(0, input.size() / 2));
        }
        for (const auto& input : withHostileNumbers(valid[0]))
            add(input);
        for (const auto& input : hostileRecords(decoder))
            add(input);
        for (const char* bytes : { "\xdd\x03\xff\xff\xff\xdd\x03\xff\xff\xff", "\xdb\xff\xff\xff\xff", "\xcf\x80" })
            add(bytes);
    }
    return seeds;
}

}
