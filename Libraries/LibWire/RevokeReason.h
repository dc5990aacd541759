#pragma once

#include <LibWire/EnumCodec.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

enum class RevokeReason : uint8_t { Eviction, ZoneOut, Cancelled, WorkerLost, HostDrain, Superseded };

}

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        template <>
        struct convert<Bergamot::RevokeReason>
            : Bergamot::EnumConvert<Bergamot::RevokeReason, Bergamot::RevokeReason::Superseded> {
        };

        template <> struct pack<Bergamot::RevokeReason> : Bergamot::EnumPack<Bergamot::RevokeReason> {
        };

    }
}
}
