#pragma once

#include <LibWire/TermsRenewed.h>

namespace Bergamot {

/// The terms that a client holds after its last renewal.
struct TermsState {
    TermsRenewed current {};
    int64_t renewedAtMs { 0 };

    bool operator==(const TermsState&) const = default;
    MSGPACK_DEFINE_ARRAY(current, renewedAtMs)
};

}
