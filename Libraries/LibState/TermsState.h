#pragma once

#include <LibWire/TermsRenewed.h>

namespace Bergamot {

/// The terms of a client since its last renewal.
struct TermsState {
    TermsRenewed current {};
    int64_t renewedAtMs { 0 };

    bool operator==(const TermsState&) const = default;
    MSGPACK_DEFINE_ARRAY(current, renewedAtMs)
};

}
