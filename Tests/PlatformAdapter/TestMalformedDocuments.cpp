#include <CppUTest/TestHarness.h>
#include <cstdint>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <platform/PlatformJson.h>
#include <platform/PlatformSettings.h>
#include <string>
#include <vector>

using namespace Bergamot;

TEST_GROUP(MalformedDocuments)
{
    Platform::PlatformJson formats;

    const std::string requiredSettings
        = "node=\"n\"\nzone=\"z\"\nip=\"10.0.0.1\"\nlisten={front=\"10.0.0.1:1\",ready=\"10.0.0.1:2\"}\n"
          "platform={addr=\"10.0.0.2:3\"}\n";
    const std::string ports = "portRange=[7720,7735]\n";
};

// Guards against a scheduled job whose due times overflow.
TEST(MalformedDocuments, JobWhoseLastDueTimeOverflowsIsRejected)
{
    auto isRead = [&](int64_t repeats, int64_t intervalMs) {
        return formats
            .readJob(
                fmt::format(R"({{"repeatCount":{},"startAtMs":1800000000000,"intervalMs":{},"steps":[{{"count":1}}]}})",
                    repeats, intervalMs))
            .ok();
    };
    CHECK(isRead(50000, 60000));
    CHECK_FALSE(isRead(50000, int64_t { 1 } << 50));
    CHECK_FALSE(isRead(2, int64_t { 1 } << 50));
}

// Guards against a body of some kilobytes whose repeated dependencies the leader counts whenever a step ends.
TEST(MalformedDocuments, RepeatedDependenciesCountOnce)
{
    auto job = formats.readJob(R"({"steps":[{"count":1},{"count":1},{"count":1,"dependsOn":[1,0,1,1,0]}]})");
    CHECK(job.ok());
    CHECK((job->steps[2].dependsOn == std::vector<uint32_t> { 1, 0 }));
}

// Guards against a configuration whose factor makes the objective of each job overflow.
TEST(MalformedDocuments, ConfigurationWithAnUnusableStretchIsRejected)
{
    auto isRead = [&](const char* stretch) {
        auto text = fmt::format(R"({{"version":7,"routes":[{{"name":"q","service":"s","stretch":{}}}]}})", stretch);
        return formats.readOperatorRecord({ .key = "config", .value = text }).ok();
    };
    CHECK(isRead("1.5"));
    CHECK(isRead("0"));
    for (const auto* stretch : { "-1", "1e300", "1e999", "\"2\"", "NaN" })
        CHECK_FALSE_TEXT(isRead(stretch), stretch);
}

// Guards against starts on what another writer announced: a field of another type means that the entry names no worker.
TEST(MalformedDocuments, WorkerWithAFieldOfAnotherTypeIsRejected)
{
    const auto entry = nlohmann::json::parse(
        R"({"service":"s","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":5,
            "capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"seq":4,"born":77})");
    auto isRead
        = [&](const nlohmann::json& it) { return formats.readWorkerRecord({ .key = "i-1", .value = it.dump() }).ok(); };
    CHECK(isRead(entry));
    for (const auto& [field, value] : entry.items()) {
        auto other = entry;
        other[field] = value.is_boolean() ? nlohmann::json(7) : nlohmann::json(true);
        CHECK_FALSE_TEXT(isRead(other), field.c_str());
    }
    auto other = entry;
    other["labels"] = { "a", 7 };
    CHECK_FALSE(isRead(other));
    other = entry;
    other["seq"] = -1;
    CHECK_FALSE(isRead(other));
    other = entry;
    other["service"] = "";
    CHECK_FALSE(isRead(other));
}

// Guards against an entry of another writer that names another zone or a later incarnation of a worker and lacks a
// field that each worker writes (review/8).
TEST(MalformedDocuments, WorkerWithoutARequiredFieldIsRejected)
{
    const auto entry = nlohmann::json::parse(
        R"({"service":"s","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":0,
            "capacity":{"cpu":16000,"memMb":32768},"labels":["a","r1-3"],"seq":4})");
    auto isRead
        = [&](const nlohmann::json& it) { return formats.readWorkerRecord({ .key = "i-1", .value = it.dump() }).ok(); };
    CHECK(isRead(entry));
    for (const auto& [field, value] : entry.items()) {
        auto other = entry;
        other.erase(field);
        CHECK_FALSE_TEXT(isRead(other), field.c_str());
        other[field] = nullptr;
        CHECK_FALSE_TEXT(isRead(other), field.c_str());
    }
    for (const auto* field : { "cpu", "memMb" }) {
        auto other = entry;
        other["capacity"].erase(field);
        CHECK_FALSE_TEXT(isRead(other), field);
    }
    auto other = entry;
    other["zone"] = "";
    CHECK_FALSE(isRead(other));
}

// Guards against a session with an address that no process can have: the leader would wait for it, and ask the network
// for a host of that name. Also against an address that changes the path or the host of a call.
TEST(MalformedDocuments, WorkerWithAnUnusableAddressIsRejected)
{
    auto isRead = [&](const std::string& address) {
        nlohmann::json entry { { "service", "s" }, { "addr", address }, { "zone", "z" }, { "version", "v1" },
            { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "labels", { "a", "r1-3" } }, { "seq", 4 },
            { "capacity", { { "cpu", 1 }, { "memMb", 1 } } } };
        return formats.readWorkerRecord({ .key = "i-1", .value = entry.dump() }).ok();
    };
    for (const auto* address : { "10.0.0.1:1", "10.0.0.1:65535", "[::1]:80", "worker-7.example_1:80" })
        CHECK_TRUE_TEXT(isRead(address), address);
    for (const auto* address : { "", ":", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1",
             "10.0.0.1:+80", "10.0.0.1: 80", "10.0.0.1:80 ", "10.0.0.1:8x", "10.0.0.1:99999999999999999999",
             "10.0.0.1:080000", "10.0.0.1:80/x", "10.0.0.1:80?x", "a/b:80", "a@b:80", "a#b:80", "a b:80", "a\n:80",
             "a%41:80", "::1:80", "[::1:80", "[]:80", "[::1]80", "[zz]:80", "\u00e4:80" })
        CHECK_FALSE_TEXT(isRead(address), address);
}

// Guards against an id that ends the header in which each call names its worker.
TEST(MalformedDocuments, WorkerWithAnUnusableIdIsRejected)
{
    constexpr auto* entry = R"({"service":"s","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready",
        "coldLeftMs":0,"capacity":{"cpu":1,"memMb":1},"labels":["a","r1-3"],"seq":4})";
    CHECK(formats.readWorkerRecord({ .key = "i-1", .value = entry }).ok());
    for (const auto* id : { "", "i\r\nX-A: b", "i\n", "i 1", "\x7f", "\xff" })
        CHECK_FALSE_TEXT(formats.readWorkerRecord({ .key = id, .value = entry }).ok(), id);
    CHECK_FALSE(formats.readWorkerRecord({ .key = std::string("i\0j", 3), .value = entry }).ok());
}

// Guards against a process that ends on a document, and against numbers that wrap around into the permitted range.
TEST(MalformedDocuments, OddValuesInAnyFieldOfAWorkerAreRejected)
{
    const auto entry = nlohmann::json::parse(
        R"({"service":"s","addr":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready","coldLeftMs":5,
            "capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"seq":4,"born":77})");
    constexpr size_t depth = 200'000;
    constexpr size_t megabyte = size_t { 1 } << 20;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    std::string nestedObjects;
    for (size_t i = 0; i < depth; ++i)
        nestedObjects += R"({"a":)";
    nestedObjects += '1' + std::string(depth, '}');
    const std::vector<std::string> odd { nested, nestedObjects, std::string(depth, '['), "1e999", "-1e999", "-1", "0.5",
        "9223372036854775808", "18446744073709551615", "18446744073709551616", "18446744073709551617",
        "-9223372036854775809", std::string(1000, '9'), "\"\xff\"", "\"\\ud800\"", "{}", "[[]]", "true" };
    for (const auto& [field, value] : entry.items()) {
        for (const auto& text : odd) {
            auto other = entry;
            other[field] = "PLACE";
            auto document = other.dump();
            document.replace(document.find("\"PLACE\""), 7, text);
            auto shown = fmt::format("{} {}", field, text.substr(0, 30));
            CHECK_FALSE_TEXT(formats.readWorkerRecord({ .key = "i-1", .value = document }).ok(), shown.c_str());
        }
    }
    for (const auto& text : odd)
        CHECK_FALSE_TEXT(formats.readWorkerRecord({ .key = "i-1", .value = text }).ok(), text.substr(0, 30).c_str());
    for (const auto* field : { "service", "addr", "zone", "state", "version" }) {
        auto other = entry;
        other[field] = std::string(megabyte, 'a');
        CHECK_FALSE_TEXT(formats.readWorkerRecord({ .key = "i-1", .value = other.dump() }).ok(), field);
    }
    // An unknown field may have any value.
    auto unknown = entry.dump();
    unknown.insert(1, "\"" + std::string(megabyte, 'k') + "\":" + nested + ",");
    CHECK(formats.readWorkerRecord({ .key = "i-1", .value = unknown }).ok());
}

// Guards against settings that overflow, or that give a negative lease, a port out of range or no time to stop.
TEST(MalformedDocuments, SettingsOutOfRangeAreIgnoredOrRejected)
{
    const Platform::PlatformSettings defaults;
    for (const auto* value : { "-1", "9223372036854775807", "-9223372036854775808" }) {
        auto settings = Platform::parsePlatformSettings(fmt::format(
            "heartbeatMs={0}\n{1}{2}bounds={{holdMaxMs={0},graceS={0}}}\nlimits={{maxFds={0},cpuShare={0}}}\n", value,
            requiredSettings, ports));
        CHECK_TEXT(settings.ok(), value);
        CHECK_EQUAL_TEXT(defaults.maxLeaseMs, settings->maxLeaseMs, value);
        CHECK_EQUAL_TEXT(defaults.workerSilenceMs, settings->workerSilenceMs, value);
        CHECK_EQUAL_TEXT(defaults.cpuMillis, settings->cpuMillis, value);
        CHECK_EQUAL_TEXT(defaults.gracePeriodMs, settings->gracePeriodMs, value);
        CHECK_EQUAL_TEXT(defaults.maxSockets, settings->maxSockets, value);
    }
    for (const auto* value : { "nan", "inf", "-inf", "1e300" }) {
        auto settings = Platform::parsePlatformSettings(fmt::format(
            "{1}{2}bounds={{graceS={0}}}\nlimits={{cpuShare={0},cores={0}}}\n", value, requiredSettings, ports));
        CHECK_TEXT(settings.ok(), value);
        CHECK_EQUAL_TEXT(defaults.cpuMillis, settings->cpuMillis, value);
        CHECK_EQUAL_TEXT(defaults.gracePeriodMs, settings->gracePeriodMs, value);
    }
    for (const auto* port : { "0", "-1", "65536", "9223372036854775807" })
        CHECK_FALSE_TEXT(
            Platform::parsePlatformSettings(requiredSettings + fmt::format("portRange=[{}]\n", port)).ok(), port);
    CHECK(Platform::parsePlatformSettings(requiredSettings + ports).ok());
    CHECK_FALSE(Platform::parsePlatformSettings("node = \"\xff\"\n").ok());
    CHECK_FALSE(Platform::parsePlatformSettings("a = " + std::string(100'000, '[')).ok());
}
