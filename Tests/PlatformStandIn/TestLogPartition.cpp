#include <CppUTest/TestHarness.h>
#include <PlatformStandIn/LogPartition.h>

using namespace Bergamot;

static std::string recordOf(std::string_view content)
{
    return std::string { '\0', '\0', '\0', static_cast<char>(content.size()) } + std::string(content);
}

static std::string keyedRecordOf(std::string_view key, std::string_view value)
{
    return recordOf(std::string { static_cast<char>(key.size()) } + std::string(key) + std::string(value));
}

TEST_GROUP(LogPartition)
{
    LogPartition log { true };
    int append(std::string_view value, uint64_t epoch, uint64_t sequence)
    {
        return log
            .append(keyedRecordOf("k", value), std::nullopt,
                LogPartition::Producer { .name = "p", .epoch = epoch, .sequence = sequence })
            .status;
    }
};

// Guards against a stand-in that lets two claims at the same end succeed, so that no soak would see two leaders.
TEST(LogPartition, ConditionalAppendNeedsTheEnd)
{
    LONGS_EQUAL(200, log.append(keyedRecordOf("a", "1"), 0, std::nullopt).status);
    auto late = log.append(keyedRecordOf("b", "2"), 0, std::nullopt);
    LONGS_EQUAL(412, late.status);
    STRCMP_EQUAL(R"({"end":1})", late.body.c_str());
    LONGS_EQUAL(1, log.end());
}

// Guards against a stand-in that takes appends of an earlier leader, or repeats an append whose answer was lost.
TEST(LogPartition, ProducersAreFencedAndRepeatsAreAnsweredAgain)
{
    LONGS_EQUAL(200, log.append({}, std::nullopt, LogPartition::Producer { .name = "p", .epoch = 5 }).status);
    LONGS_EQUAL(409, append("old", 4, 1));
    LONGS_EQUAL(200, append("1", 5, 1));
    LONGS_EQUAL(200, append("1", 5, 1));
    LONGS_EQUAL(1, log.end());
    LONGS_EQUAL(409, append("gap", 5, 3));
    for (uint64_t sequence = 2; sequence <= 6; ++sequence)
        LONGS_EQUAL(200, append("n", 5, sequence));
    // Only the last five appends are remembered.
    LONGS_EQUAL(409, append("1", 5, 1));
    LONGS_EQUAL(200, append("next", 7, 40));
    LONGS_EQUAL(7, log.end());
}

// Guards against a stand-in that loses the newest record of a key together with its history.
TEST(LogPartition, NewestRecordsOutliveTheHistory)
{
    log.put("a", "1");
    log.put("a", "2");
    log.put("b", "3");
    log.put("b", "");
    log.forget(1);
    LONGS_EQUAL(3, log.firstRetained());
    LONGS_EQUAL(1, log.newest().size());
    STRCMP_EQUAL("2", log.newest().at("a").value.c_str());
    LONGS_EQUAL(1, log.newest().at("a").offset);
    // End and first offset in eight bytes each, then the record of the dropped key: its length, and the key.
    LONGS_EQUAL(16 + 4 + 2, log.read(3).size());
}

// Guards against half of a call being stored when its last record is cut off.
TEST(LogPartition, CutOffRecordsAreRefusedWhole)
{
    auto body = keyedRecordOf("a", "1") + keyedRecordOf("b", "2");
    body.pop_back();
    LONGS_EQUAL(400, log.append(body, std::nullopt, std::nullopt).status);
    LONGS_EQUAL(0, log.end());
}
