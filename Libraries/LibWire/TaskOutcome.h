#pragma once

#include <LibWire/EnumCodec.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// How an attempt ended. `Refused` means that the worker did not start the attempt.
enum class TaskOutcome : uint8_t { Completed, Failed, Evicted, Lost, Refused, Stopped };

}

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        template <>
        struct convert<Bergamot::TaskOutcome>
            : Bergamot::EnumConvert<Bergamot::TaskOutcome, Bergamot::TaskOutcome::Stopped> {
        };

        template <> struct pack<Bergamot::TaskOutcome> : Bergamot::EnumPack<Bergamot::TaskOutcome> {
        };

    }
}
}
