#pragma once

#include <LibWire/EnumCodec.h>
#include <cstdint>

namespace Bergamot {

/// State of a job as reported to callers.
enum class JobStage : uint8_t { Queued, Running, Completed, Failed, Cancelled };

}

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {
        template <>
        struct convert<Bergamot::JobStage> : Bergamot::EnumConvert<Bergamot::JobStage, Bergamot::JobStage::Cancelled> {
        };
        template <> struct pack<Bergamot::JobStage> : Bergamot::EnumPack<Bergamot::JobStage> {
        };
    }
}
}
