#pragma once

namespace Bergamot {

/// The order in which the requests of clients are shed under overload; Low is shed first.
enum class PriorityClass {
    Low,
    Normal,
    High,
};

}
