#pragma once

#include <LibCore/Ids.h>
#include <cstdint>

namespace Bergamot {

enum class AppendOutcome : uint8_t { Appended, EndMismatch, Fenced, WrongSequence };

struct AppendReply {
    AppendOutcome outcome { AppendOutcome::Appended };

    /// Offset of the first appended record.
    LogPosition offset { 0 };
};

}
