#include <CppUTest/TestHarness.h>
#include <LibStandIn/JsonField.h>
#include <LibStandIn/LogFaults.h>
#include <LibStandIn/LogStore.h>
#include <LibStandIn/ProtocolJson.h>
#include <msgpack.hpp>

using namespace Bergamot;

static Instant at(int64_t ms) { return Instant(Milliseconds(ms)); }

TEST_GROUP(LogStore) {};

// Guards against gaps in offsets and against a head that is not the next offset.
TEST(LogStore, OffsetsAndHead)
{
    LogStore log({ .clockOffsetMs = 1000 });
    for (LogPosition i = 0; i < 5; ++i)
        CHECK_EQUAL(i, *log.append("s", "record", at(10)));
    auto chunk = log.read("s", 3, 100, at(11));
    CHECK_EQUAL(5U, chunk->head);
    CHECK_EQUAL(2U, chunk->entries.size());
    CHECK_EQUAL(3U, chunk->entries[0].offset);
    CHECK_EQUAL(1010, chunk->entries[0].timeMs);
    CHECK_EQUAL(1U, log.read("s", 0, 1, at(11))->entries.size());
    CHECK(log.read("s", 9, 100, at(11))->entries.empty());
    CHECK(log.read("other", 0, 100, at(11))->head == 0);
}

// Guards against an append that takes effect although the rate limit rejected it.
TEST(LogStore, AppendLimitRejectsWithoutEffect)
{
    LogStore log({ .appendsPerSecond = 2 });
    CHECK(log.append("s", "a", at(5000)).ok());
    CHECK(log.append("t", "b", at(5500)).ok());
    CHECK(absl::IsResourceExhausted(log.append("s", "c", at(5999)).status()));
    CHECK_EQUAL(1U, log.head("s"));
    CHECK_EQUAL(1U, *log.append("s", "c", at(6000)));
    CHECK(absl::IsInvalidArgument(log.append("a/b", "c", at(7000)).status()));
    CHECK(absl::IsInvalidArgument(log.append("s", "", at(7000)).status()));
}

// Guards against retention that renumbers entries or keeps expired ones.
TEST(LogStore, RetentionByAgeCountAndOrder)
{
    LogStore byAge({ .maxAge = Milliseconds(100) });
    CHECK(byAge.append("s", "old", at(0)).ok());
    CHECK(byAge.append("s", "new", at(90)).ok());
    CHECK_EQUAL(1U, byAge.read("s", 0, 100, at(150))->earliest);
    auto empty = byAge.read("s", 0, 100, at(500));
    CHECK_EQUAL(2U, empty->earliest);
    CHECK_EQUAL(2U, empty->head);
    LogStore byCount({ .maxEntriesPerStream = 3 });
    for (int i = 0; i < 10; ++i)
        CHECK(byCount.append("s", "x", at(i)).ok());
    CHECK_EQUAL(7U, byCount.read("s", 0, 100, at(10))->entries.front().offset);
    byCount.expireBefore("s", 9);
    CHECK_EQUAL(9U, byCount.read("s", 0, 100, at(10))->earliest);
}

// Guards against a msgpack body that differs from docs/platform-protocol.md.
TEST(LogStore, ChunkEncoding)
{
    LogChunk chunk { .earliest = 1, .head = 3, .entries = { { 1, 10, std::string("\0a", 2) }, { 2, 11, "b" } } };
    auto bytes = encodeLogChunk(chunk);
    auto handle = msgpack::unpack(bytes.data(), bytes.size());
    auto array = handle.get().via.array;
    CHECK_EQUAL(3U, array.size);
    CHECK_EQUAL(3U, array.ptr[1].as<uint64_t>());
    auto first = array.ptr[2].via.array.ptr[0].via.array;
    CHECK(first.ptr[2].type == msgpack::type::BIN);
    CHECK(first.ptr[2].as<std::string>() == chunk.entries[0].bytes);
}

// Guards against misspelt or mistyped fault keys that are silently ignored, and against faults that never end.
TEST(LogStore, Faults)
{
    LogFaults faults;
    CHECK(absl::IsInvalidArgument(faults.apply(parseJson(R"({"downms":5})"), at(0))));
    CHECK(absl::IsInvalidArgument(faults.apply(parseJson(R"({"down_ms":"5"})"), at(0))));
    CHECK(absl::IsInvalidArgument(faults.apply(parseJson("{"), at(0))));
    CHECK(faults.apply(parseJson(R"({"down_ms":50,"lose_answers":1,"cut_off":"e1","for_ms":20})"), at(100)).ok());
    CHECK(faults.isDown(at(149)));
    CHECK(!faults.isDown(at(150)));
    CHECK(faults.isSilent("e1", at(119)));
    CHECK(!faults.isSilent("e2", at(119)));
    CHECK(!faults.isSilent("e1", at(120)));
    CHECK(faults.takeLostReply());
    CHECK(!faults.takeLostReply());
}
