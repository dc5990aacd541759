#pragma once

namespace Bergamot {

/// The priority class of a client's requests under overload. Requests of class Low are shed first.
enum class PriorityClass {
    Low,
    Normal,
    High,
};

}
