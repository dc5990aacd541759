#include <CheckProperty.h>
#include <CppUTest/TestHarness.h>
#include <LibCore/StatusText.h>
#include <LibWire/Codec.h>
#include <random>

using namespace Bergamot;

namespace rc {

template <> struct Arbitrary<TaskOutcome> {
    static Gen<TaskOutcome> arbitrary()
    {
        return gen::cast<TaskOutcome>(gen::inRange(0, static_cast<int>(TaskOutcome::Stopped) + 1));
    }
};

template <> struct Arbitrary<RevokeReason> {
    static Gen<RevokeReason> arbitrary()
    {
        return gen::cast<RevokeReason>(gen::inRange(0, static_cast<int>(RevokeReason::Superseded) + 1));
    }
};

template <> struct Arbitrary<JobQueryKind> {
    static Gen<JobQueryKind> arbitrary()
    {
        return gen::cast<JobQueryKind>(gen::inRange(0, static_cast<int>(JobQueryKind::Pending) + 1));
    }
};

template <> struct Arbitrary<JobQueryStatus> {
    static Gen<JobQueryStatus> arbitrary()
    {
        return gen::cast<JobQueryStatus>(gen::inRange(0, static_cast<int>(JobQueryStatus::Unavailable) + 1));
    }
};

template <> struct Arbitrary<JobStage> {
    static Gen<JobStage> arbitrary()
    {
        return gen::cast<JobStage>(gen::inRange(0, static_cast<int>(JobStage::Cancelled) + 1));
    }
};

template <> struct Arbitrary<Resources> {
    static Gen<Resources> arbitrary()
    {
        return gen::construct<Resources>(
            gen::arbitrary<int64_t>(), gen::arbitrary<int64_t>(), gen::arbitrary<int64_t>());
    }
};

template <> struct Arbitrary<WireClientDemand> {
    static Gen<WireClientDemand> arbitrary()
    {
        return gen::construct<WireClientDemand>(gen::arbitrary<std::string>(), gen::arbitrary<int64_t>(),
            gen::arbitrary<int64_t>(), gen::arbitrary<int64_t>(), gen::arbitrary<uint64_t>());
    }
};

template <> struct Arbitrary<WireClientShare> {
    static Gen<WireClientShare> arbitrary()
    {
        return gen::construct<WireClientShare>(gen::arbitrary<std::string>(), gen::arbitrary<uint64_t>(),
            gen::arbitrary<int64_t>(), gen::arbitrary<int64_t>());
    }
};

}

namespace {

// Used in place of a msgpack packer: assigns a generated value to each field that the type declares to msgpack, so that
// new fields are covered without a change to this test. Casts const away, so the packed value must not be const.
struct ArbitraryFieldPacker {
    void pack_array(uint32_t) { } // NOLINT(readability-identifier-naming): msgpack requires this name.
    template <typename T> void pack(const T& field) { const_cast<T&>(field) = *rc::gen::arbitrary<T>(); }
};

template <typename Variant, size_t index = 0> Variant alternativeWithArbitraryFields(size_t wanted)
{
    if constexpr (index < std::variant_size_v<Variant>) {
        if (wanted != index)
            return alternativeWithArbitraryFields<Variant, index + 1>(wanted);
        std::variant_alternative_t<index, Variant> value;
        ArbitraryFieldPacker packer;
        value.msgpack_pack(packer);
        return value;
    } else {
        return {};
    }
}

template <typename Variant> Variant arbitraryAlternative()
{
    return alternativeWithArbitraryFields<Variant>(*rc::gen::inRange<size_t>(0, std::variant_size_v<Variant>));
}

RecordBatch batchOfAllRecordTypes(uint64_t number)
{
    RecordBatch batch { .member = "e1", .incarnation = number, .sequence = 2 };
    [&]<size_t... index>(std::index_sequence<index...>)
    {
        (batch.records.push_back(Record { std::in_place_index<index> }), ...);
    }
    (std::make_index_sequence<std::variant_size_v<Record>> {});
    return batch;
}

// Overwrites, inserts, removes and duplicates a few bytes.
std::string mutate(std::string bytes, std::mt19937_64& random)
{
    for (auto n = random() % 4 + 1; n > 0 && !bytes.empty(); --n) {
        auto at = random() % bytes.size();
        switch (random() % 4) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.insert(at, 1, static_cast<char>(random()));
            break;
        case 2:
            bytes.erase(at, random() % 4 + 1);
            break;
        default:
            bytes.insert(at, bytes.substr(random() % bytes.size(), random() % 16));
        }
    }
    return bytes;
}

// Returns whether the bytes were accepted.
bool checkBatchRoundTrip(const std::string& bytes)
{
    auto decoded = decodeBatch(bytes);
    if (decoded.ok()) {
        auto again = decodeBatch(encodeBatch(*decoded));
        CHECK(again.ok());
        CHECK(*again == *decoded);
    }
    return decoded.ok();
}

bool checkPeerMessageRoundTrip(const std::string& bytes)
{
    auto decoded = decodePeerMessage(bytes);
    if (decoded.ok()) {
        auto again = decodePeerMessage(encodePeerMessage(*decoded));
        CHECK(again.ok());
        CHECK(*again == *decoded);
    }
    return decoded.ok();
}

// Encodes a batch with one record, or a peer message, of the given alternative but with the given fields.
template <typename... Fields> std::string encodeFields(bool isBatch, uint32_t alternative, const Fields&... fields)
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> packer(buf);
    packer.pack_array(isBatch ? 5 : 2);
    packer.pack(wireVersion);
    if (isBatch) {
        packer.pack("e1");
        packer.pack(1);
        packer.pack(1);
        packer.pack_array(1);
    }
    packer.pack_array(2);
    packer.pack(alternative);
    packer.pack_array(sizeof...(fields));
    (packer.pack(fields), ...);
    return { buf.data(), buf.size() };
}

template <typename T> uint32_t recordIndex() { return static_cast<uint32_t>(Record { T {} }.index()); }

}

TEST_GROUP(CodecRobustness) {};

// Guards against a field of a record type that is not encoded or not decoded.
TEST(CodecRobustness, EveryRecordTypeRoundTrips)
{
    for (size_t i = 0; i < std::variant_size_v<Record>; ++i) {
        checkProperty("a record survives encoding", [i] {
            const RecordBatch batch { .member = *rc::gen::arbitrary<std::string>(),
                .incarnation = *rc::gen::arbitrary<uint64_t>(),
                .sequence = *rc::gen::arbitrary<uint64_t>(),
                .records = { alternativeWithArbitraryFields<Record>(i), arbitraryAlternative<Record>() } };
            const auto decoded = decodeBatch(encodeBatch(batch));
            RC_ASSERT(decoded.ok());
            RC_ASSERT((*decoded == batch));
        });
    }
}

// Guards against a field of a peer message that is not encoded or not decoded.
TEST(CodecRobustness, EveryPeerMessageRoundTrips)
{
    for (size_t i = 0; i < std::variant_size_v<PeerMessage>; ++i) {
        checkProperty("a peer message survives encoding", [i] {
            const auto message = alternativeWithArbitraryFields<PeerMessage>(i);
            const auto decoded = decodePeerMessage(encodePeerMessage(message));
            RC_ASSERT(decoded.ok());
            RC_ASSERT((*decoded == message));
        });
    }
}

// Guards against random network input that crashes the process, or that decodes to a value which changes when it is
// encoded and decoded again.
TEST(CodecRobustness, RandomInputIsHandled)
{
    std::mt19937_64 random(1);
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes(random() % 64, '\0');
        for (auto& c : bytes)
            c = static_cast<char>(random());
        // A valid start lets some of the inputs pass the check of the envelope.
        if (i % 2 == 0)
            bytes.insert(0, "\x92\x01\x92");
        checkBatchRoundTrip(bytes);
        checkPeerMessageRoundTrip(bytes);
    }
}

// Guards against nearly valid network input that crashes the process, or that decodes to a value which changes when it
// is encoded and decoded again.
TEST(CodecRobustness, MutatedInputIsHandled)
{
    std::mt19937_64 random(2);
    const Heartbeat heartbeat { .member = "e1", .incarnation = 9, .unreachableWorkers = { "w1", "w2" } };
    const RecordRelay relay { .member = "e2", .position = 1, .entries = { encodeBatch(batchOfAllRecordTypes(1)) } };
    int accepted = 0;
    for (int i = 0; i < 20'000; ++i) {
        accepted += checkBatchRoundTrip(mutate(encodeBatch(batchOfAllRecordTypes(random())), random));
        accepted += checkPeerMessageRoundTrip(mutate(encodePeerMessage(heartbeat), random));
        accepted += checkPeerMessageRoundTrip(mutate(encodePeerMessage(relay), random));
    }
    CHECK_TEXT(accepted > 1000, "the mutations are too strong to reach the conversion of fields");
}

// Guards against an older version that rejects records with additional fields from a newer version.
TEST(CodecRobustness, ExtraTrailingFieldsAreIgnored)
{
    auto batch = decodeBatch(encodeFields(true, recordIndex<ZoneChanged>(), "z1", true, "later field", 7));
    CHECK(batch.ok());
    CHECK((batch->records == std::vector<Record> { ZoneChanged { .zone = "z1", .out = true } }));
    auto message = decodePeerMessage(encodeFields(false, 3, "e1", 3, "token", std::vector<int> { 1, 2 }));
    CHECK(message.ok());
    CHECK((*message == PeerMessage { SlotReturn { .borrower = "e1", .loanId = 3, .service = "token" } }));
}

// Guards against a newer version that rejects records with fewer fields from an older version.
TEST(CodecRobustness, MissingTrailingFieldsHaveDefaults)
{
    for (uint32_t i = 0; i < std::variant_size_v<Record>; ++i) {
        auto batch = decodeBatch(encodeFields(true, i));
        CHECK(batch.ok());
        CHECK(batch->records[0] == batchOfAllRecordTypes(0).records[i]);
    }
    for (uint32_t i = 0; i < std::variant_size_v<PeerMessage>; ++i)
        CHECK(decodePeerMessage(encodeFields(false, i)).ok());
    auto batch
        = decodeBatch(encodeFields(true, recordIndex<WorkerListed>(), 4, "w1", "", "", "", std::vector { 8, 9 }));
    CHECK(batch.ok());
    const WorkerListed listed { .epoch = 4, .worker = "w1", .capacity = { .cpuMillis = 8, .memoryMb = 9 } };
    CHECK((batch->records == std::vector<Record> { listed }));
}

// Guards against a record or message type of a newer version that is decoded as another type.
TEST(CodecRobustness, UnknownAlternativesAreRefused)
{
    CHECK_FALSE(decodeBatch(encodeFields(true, std::variant_size_v<Record>)).ok());
    CHECK_FALSE(decodePeerMessage(encodeFields(false, std::variant_size_v<PeerMessage>)).ok());
}

// Guards against undeclared enumeration values that are accepted, although no switch over the enumeration handles them.
TEST(CodecRobustness, UnknownEnumerationValuesAreRefused)
{
    const auto last = static_cast<int>(TaskOutcome::Stopped);
    CHECK(decodeBatch(encodeFields(true, recordIndex<TaskEnded>(), 1, "j1", 1, last)).ok());
    CHECK_FALSE(decodeBatch(encodeFields(true, recordIndex<TaskEnded>(), 1, "j1", 1, last + 1)).ok());
    const auto lastReason = static_cast<int>(RevokeReason::Superseded);
    CHECK(decodeBatch(encodeFields(true, recordIndex<TaskRevoked>(), 1, "j1", 1, lastReason)).ok());
    CHECK_FALSE(decodeBatch(encodeFields(true, recordIndex<TaskRevoked>(), 1, "j1", 1, lastReason + 1)).ok());
    CHECK_FALSE(decodeBatch(encodeFields(true, recordIndex<TaskRevoked>(), 1, "j1", 1, 256)).ok());
}

// Guards against 80 bytes of nested array headers with a million elements each that make msgpack allocate 380 MB.
TEST(CodecRobustness, ArraysLargerThanTheInputAreRefused)
{
    std::string bytes;
    for (int i = 0; i < 16; ++i)
        bytes += std::string("\xdd\x00\x0f\x42\x40", 5);
    auto decoded = decodePeerMessage(bytes);
    CHECK_FALSE(decoded.ok());
    STRCMP_CONTAINS("array size overflow", statusText(decoded.status()).c_str());
}
