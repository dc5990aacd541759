#pragma once

#include <LibWire/JobStage.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

enum class JobAnswerStatus : uint8_t { Found, Unknown, Unavailable };

}

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {
        template <>
        struct convert<Bergamot::JobAnswerStatus>
            : Bergamot::EnumConvert<Bergamot::JobAnswerStatus, Bergamot::JobAnswerStatus::Unavailable> {
        };
        template <> struct pack<Bergamot::JobAnswerStatus> : Bergamot::EnumPack<Bergamot::JobAnswerStatus> {
        };
    }
}
}

namespace Bergamot {

/// The leader's answer to a JobQuery.
struct JobAnswer {
    uint64_t number { 0 };
    JobAnswerStatus status { JobAnswerStatus::Unavailable };
    JobStage state { JobStage::Queued };

    /// Jobs of the queue without a started task, for Pending.
    uint32_t pending { 0 };

    bool operator==(const JobAnswer&) const = default;
    MSGPACK_DEFINE_ARRAY(number, status, state, pending)
};

}
