#include <CppUTest/TestHarness.h>
#include <PlatformStandIn/LogPartition.h>

using namespace Bergamot;

static std::string encodeRecord(std::string_view content)
{
    return std::string { '\0', '\0', '\0', static_cast<char>(content.size()) } + std::string(content);
}

static std::string encodeKeyedRecord(std::string_view key, std::string_view value)
{
    return encodeRecord(std::string { static_cast<char>(key.size()) } + std::string(key) + std::string(value));
}

TEST_GROUP(LogPartition)
{
    LogPartition log { true };
    int append(std::string_view value, uint64_t epoch, uint64_t sequence)
    {
        return log
            .append(encodeKeyedRecord("k", value), std::nullopt,
                LogPartition::Producer { .name = "p", .epoch = epoch, .sequence = sequence })
            .status;
    }
};

// Guards against a store stand-in that accepts two leadership claims at the same end offset. Soak runs with it could
// not show that the nodes elect a single leader.
TEST(LogPartition, ConditionalAppendRequiresTheCurrentEndOffset)
{
    LONGS_EQUAL(200, log.append(encodeKeyedRecord("a", "1"), 0, std::nullopt).status);
    auto rejected = log.append(encodeKeyedRecord("b", "2"), 0, std::nullopt);
    LONGS_EQUAL(412, rejected.status);
    STRCMP_EQUAL(R"({"end":1})", rejected.body.c_str());
    LONGS_EQUAL(1, log.endOffset());
}

// Guards against a store stand-in that accepts appends of an earlier leader, or stores an append twice when its
// producer retries after a lost reply.
TEST(LogPartition, OlderEpochsAreFencedAndRetriedAppendsGetTheSameReply)
{
    LONGS_EQUAL(200, log.append({}, std::nullopt, LogPartition::Producer { .name = "p", .epoch = 5 }).status);
    LONGS_EQUAL(409, append("old", 4, 1));
    LONGS_EQUAL(200, append("1", 5, 1));
    LONGS_EQUAL(200, append("1", 5, 1));
    LONGS_EQUAL(1, log.endOffset());
    LONGS_EQUAL(409, append("gap", 5, 3));
    for (uint64_t sequence = 2; sequence <= 6; ++sequence)
        LONGS_EQUAL(200, append("n", 5, sequence));
    // The partition keeps the replies to the last five appends of a producer only.
    LONGS_EQUAL(409, append("1", 5, 1));
    LONGS_EQUAL(200, append("next", 7, 40));
    LONGS_EQUAL(7, log.endOffset());
}

// Guards against a store stand-in that loses the newest record of a key when older records are deleted.
TEST(LogPartition, NewestRecordsSurviveTrimming)
{
    log.put("a", "1");
    log.put("a", "2");
    log.put("b", "3");
    log.put("b", "");
    log.trim(1);
    LONGS_EQUAL(3, log.firstRetainedOffset());
    LONGS_EQUAL(1, log.newestRecords().size());
    STRCMP_EQUAL("2", log.newestRecords().at("a").value.c_str());
    LONGS_EQUAL(1, log.newestRecords().at("a").offset);
    // The end offset and the first retained offset take eight bytes each. The record that deletes key "b" follows:
    // four bytes of record length, one byte of key length, and the key.
    LONGS_EQUAL(16 + 4 + 2, log.read(3).size());
}

// Guards against an append that stores its complete records although its last record is truncated.
TEST(LogPartition, AppendWithATruncatedRecordIsRejectedWhole)
{
    auto body = encodeKeyedRecord("a", "1") + encodeKeyedRecord("b", "2");
    body.pop_back();
    LONGS_EQUAL(400, log.append(body, std::nullopt, std::nullopt).status);
    LONGS_EQUAL(0, log.endOffset());
}
