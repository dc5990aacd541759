#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Bergamot {

/// A fault of the store stand-in that lasts for a time.
struct StoreFault {
    enum class Kind : uint8_t {
        /// Every call is answered 503, and nothing is done.
        Refusing,
        /// No call is carried out or answered.
        Silent,
        /// Every call takes `delay` longer, half of it before and half after its effect.
        Slow,
        /// Appends are carried out, and their answers are lost.
        LosesAppendAnswers,
        /// Appends are carried out after `delay`, and their answers are lost.
        LateAppends,
        /// The answers to reads of the operators' newest records are lost.
        LosesOperatorAnswers,
        /// The answers to reads of the operators' newest records take `delay` longer.
        SlowOperatorAnswers,
        /// Older records are deleted, once.
        Forgets
    };

    bool operator==(const StoreFault&) const = default;

    Kind kind { Kind::Refusing };
    Milliseconds duration { 0 };
    Milliseconds delay { 0 };
};

}
