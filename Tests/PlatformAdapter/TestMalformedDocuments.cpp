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
