#include <CppUTest/TestHarness.h>
#include <LibWire/Codec.h>

using namespace Bergamot;

TEST_GROUP(Codec) {};

static RecordBatch sampleBatch()
{
    return {
        .member = "e1",
        .incarnation = 7,
        .sequence = 3,
        .records = {
            TaskIntent { .epoch = 4, .job = "j1", .attempt = 2, .worker = "w9" },
            WorkerListed { .epoch = 4, .worker = "w9", .capacity = { .cpuMillis = 32000, .memoryMb = 125000 } },
            TaskEnded { .epoch = 4, .job = "j1", .attempt = 2, .outcome = TaskOutcome::Evicted, .checkpoint = "c1" },
        },
    };
}

// Guards against fields that are lost or swapped when a batch is encoded and decoded.
TEST(Codec, BatchRoundTrip)
{
    auto decoded = decodeBatch(encodeBatch(sampleBatch()));
    CHECK(decoded.ok());
    CHECK(*decoded == sampleBatch());
}

// Guards against truncated input that decodes to a shorter but valid batch.
TEST(Codec, EveryTruncationIsRefused)
{
    auto bytes = encodeBatch(sampleBatch());
    for (size_t n = 0; n < bytes.size(); ++n)
        CHECK_FALSE(decodeBatch(std::string_view(bytes).substr(0, n)).ok());
}

// Guards against a message of another wire version that is decoded as one of this version.
TEST(Codec, OtherVersionIsRefused)
{
    auto bytes = encodePeerMessage(Heartbeat { .member = "e1" });
    CHECK(decodePeerMessage(bytes).ok());
    bytes[1] = 9;
    CHECK_FALSE(decodePeerMessage(bytes).ok());
}
