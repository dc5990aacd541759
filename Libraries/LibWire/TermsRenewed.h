#pragma once

#include <LibCore/Ids.h>
#include <cstdint>
#include <msgpack.hpp>

namespace Bergamot {

/// A renewal of a client's terms. Valid only when `renewal` is the client's last renewal plus one, and `basedOn` is the
/// position of the last renewal of any client: two renewals that each fit the capacity alone may exceed it together.
struct TermsRenewed {
    ClientId client {};
    uint32_t renewal { 0 };
    int64_t requestsPerSecond { 0 };
    int64_t concurrency { 0 };
    LogPosition basedOn { 0 };

    bool operator==(const TermsRenewed&) const = default;
    MSGPACK_DEFINE_ARRAY(client, renewal, requestsPerSecond, concurrency, basedOn)
};

}
