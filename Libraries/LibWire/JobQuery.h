#pragma once

#include <LibCore/Ids.h>
#include <LibWire/EnumCodec.h>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Bergamot {

enum class JobQueryKind : uint8_t { State, Cancel, Pending };

}

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {
        template <>
        struct convert<Bergamot::JobQueryKind>
            : Bergamot::EnumConvert<Bergamot::JobQueryKind, Bergamot::JobQueryKind::Pending> {
        };
        template <> struct pack<Bergamot::JobQueryKind> : Bergamot::EnumPack<Bergamot::JobQueryKind> {
        };
    }
}
}

namespace Bergamot {

/// A caller's question that an entry host passes on to the leader.
struct JobQuery {
    uint64_t queryId { 0 };

    /// Where the answer goes.
    std::string replyAddress {};
    JobQueryKind kind { JobQueryKind::State };

    /// The job, or for Pending the name of the queue.
    std::string subject {};

    bool operator==(const JobQuery&) const = default;
    MSGPACK_DEFINE_ARRAY(queryId, replyAddress, kind, subject)
};

}
