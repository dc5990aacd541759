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

/// A caller's query or cancellation that an entry host forwards to the leader.
struct JobQuery {
    uint64_t queryId { 0 };

    /// Peer address to which the leader sends the JobQueryReply.
    std::string replyAddress {};
    JobQueryKind kind { JobQueryKind::State };

    /// The job id; for Pending, the name of the queue.
    std::string subject {};

    bool operator==(const JobQuery&) const = default;
    MSGPACK_DEFINE_ARRAY(queryId, replyAddress, kind, subject)
};

}
