#include <LibWire/Codec.h>
#include <LibWire/Unpack.h>
#include <exception>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

template <typename Variant> static void packVariant(msgpack::packer<msgpack::sbuffer>& packer, const Variant& value)
{
    packer.pack_array(2);
    packer.pack(static_cast<uint32_t>(value.index()));
    std::visit([&](const auto& it) { packer.pack(it); }, value);
}

template <typename Variant, size_t index = 0>
static Variant convertAlternative(size_t wanted, const msgpack::object& object)
{
    if constexpr (index < std::variant_size_v<Variant>) {
        if (wanted == index)
            return Variant { std::in_place_index<index>, object.as<std::variant_alternative_t<index, Variant>>() };
        return convertAlternative<Variant, index + 1>(wanted, object);
    } else {
        throw msgpack::type_error();
    }
}

template <typename Variant> static Variant convertVariant(const msgpack::object& object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size < 2)
        throw msgpack::type_error();
    const auto* parts = object.via.array.ptr;
    return convertAlternative<Variant>(parts[0].as<uint32_t>(), parts[1]);
}

// msgpack throws on malformed input; the exceptions are converted to a status here.
template <typename Result, typename Convert>
static absl::StatusOr<Result> decodeToStatusOr(std::string_view bytes, std::string_view what, Convert&& convert)
{
    if (bytes.size() > maxEncodedBytes)
        return absl::InvalidArgumentError(fmt::format("{} is too large: {} bytes", what, bytes.size()));
    try {
        auto handle = unpackBounded(bytes);
        return convert(handle.get());
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(fmt::format("malformed {}: {}", what, error.what()));
    }
}

static const msgpack::object* requireVersionedArray(const msgpack::object& object, uint32_t count)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size < count)
        throw msgpack::type_error();
    if (object.via.array.ptr[0].as<uint32_t>() != wireVersion)
        throw msgpack::type_error();
    return object.via.array.ptr;
}

std::string encodeBatch(const RecordBatch& batch)
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> packer(buf);
    packer.pack_array(5);
    packer.pack(wireVersion);
    packer.pack(batch.member);
    packer.pack(batch.incarnation);
    packer.pack(batch.sequence);
    packer.pack_array(static_cast<uint32_t>(batch.records.size()));
    for (const auto& record : batch.records)
        packVariant(packer, record);
    return { buf.data(), buf.size() };
}

absl::StatusOr<RecordBatch> decodeBatch(std::string_view bytes)
{
    return decodeToStatusOr<RecordBatch>(bytes, "record batch", [](const msgpack::object& object) {
        const auto* parts = requireVersionedArray(object, 5);
        RecordBatch batch {
            .member = parts[1].as<MemberId>(),
            .incarnation = parts[2].as<uint64_t>(),
            .sequence = parts[3].as<uint64_t>(),
        };
        if (parts[4].type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        for (uint32_t i = 0; i < parts[4].via.array.size; ++i)
            batch.records.push_back(convertVariant<Record>(parts[4].via.array.ptr[i]));
        return batch;
    });
}

std::string encodePeerMessage(const PeerMessage& message)
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> packer(buf);
    packer.pack_array(2);
    packer.pack(wireVersion);
    packVariant(packer, message);
    return { buf.data(), buf.size() };
}

absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    return decodeToStatusOr<PeerMessage>(bytes, "peer message",
        [](const msgpack::object& object) { return convertVariant<PeerMessage>(requireVersionedArray(object, 2)[1]); });
}

std::string encodeRecord(const Record& record)
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> packer(buf);
    packVariant(packer, record);
    return { buf.data(), buf.size() };
}

}
