#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <type_traits>

namespace Bergamot {

/// Decodes an enumeration whose values are 0 to `last` without gaps. Other values are rejected as malformed:
/// MSGPACK_ADD_ENUM would accept them, although no switch over the enumeration handles them.
template <typename Enum, Enum last> struct EnumConvert {
    const msgpack::object& operator()(const msgpack::object& object, Enum& value) const
    {
        const auto number = object.as<std::underlying_type_t<Enum>>();
        if (number > static_cast<std::underlying_type_t<Enum>>(last))
            throw msgpack::type_error();
        value = static_cast<Enum>(number);
        return object;
    }
};

/// Encodes an enumeration as its number.
template <typename Enum> struct EnumPack {
    template <typename Stream>
    msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer, const Enum& value) const
    {
        packer.pack(static_cast<std::underlying_type_t<Enum>>(value));
        return packer;
    }
};

}
