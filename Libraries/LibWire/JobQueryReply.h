#pragma once

#include <LibWire/JobStage.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

enum class JobQueryStatus : uint8_t { Found, Unknown, Unavailable };

}

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {
        template <>
        struct convert<Bergamot::JobQueryStatus>
            : Bergamot::EnumConvert<Bergamot::JobQueryStatus, Bergamot::JobQueryStatus::Unavailable> {
        };
        template <> struct pack<Bergamot::JobQueryStatus> : Bergamot::EnumPack<Bergamot::JobQueryStatus> {
        };
    }
}
}

namespace Bergamot {

/// The leader's reply to a JobQuery.
struct JobQueryReply {
    uint64_t queryId { 0 };
    JobQueryStatus status { JobQueryStatus::Unavailable };
    JobStage state { JobStage::Queued };

    /// For Pending, the number of jobs in the queue of which no task has started.
    uint32_t pending { 0 };

    bool operator==(const JobQueryReply&) const = default;
    MSGPACK_DEFINE_ARRAY(queryId, status, state, pending)
};

}
