#pragma once

#include <LibWire/Codec.h>
#include <LibWire/Unpack.h>
#include <absl/status/statusor.h>
#include <exception>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace Bergamot {

/// Encodes a single msgpack value without a wire version, such as the value of a keyed record.
template <typename T> std::string encodeValue(const T& value)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, value);
    return { buf.data(), buf.size() };
}

/// Returns InvalidArgument for malformed or oversize input, for bytes after the value, and for a value that its own
/// check() refuses, if the type has one.
template <typename T> absl::StatusOr<T> decodeValue(std::string_view bytes)
{
    if (bytes.size() > maxEncodedBytes)
        return absl::InvalidArgumentError("encoded value is too large");
    // msgpack throws on malformed input; the exceptions are converted to a status here.
    try {
        auto value = unpackBounded(bytes).get().as<T>();
        if constexpr (requires { value.check(); }) {
            if (auto status = value.check(); !status.ok())
                return status;
        }
        return value;
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

}
