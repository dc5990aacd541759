#pragma once

#include <LibCore/Time.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Bergamot {

enum class FaultKind : uint8_t {
    NodeKill,
    NodeTerminate,
    NodeFreeze,
    AllKill,
    AllKillOperatorsLost,
    AllKillOperatorsSlow,
    StoreRefuses,
    StoreSilent,
    StoreSlow,
    StoreLosesAnswers,
    StoreLate,
    StoreOperatorsLost,
    StoreForgets,
    LinkDelay,
    LinkReset,
    LinkSilentToNode,
    LinkSilentToStore,
    WorkerCrash,
    WorkerDelay,
    WorkerReset,
    WorkerSilent,
    WorkerZoneSilent,
    NewConfiguration,
    ZoneOut
};

/// The names of the kinds on the command line, in their order.
inline constexpr std::array<std::string_view, 24> faultNames { "node-kill", "node-term", "node-freeze", "all-kill",
    "all-kill-operators-lost", "all-kill-operators-slow", "store-refuses", "store-silent", "store-slow",
    "store-loses-answers", "store-late", "store-operators-lost", "store-forgets", "link-delay", "link-reset",
    "link-silent-to-node", "link-silent-to-store", "worker-crash", "worker-delay", "worker-reset", "worker-silent",
    "worker-zone-silent", "configuration", "zone-out" };

/// One fault of the schedule. `target` is reduced to the number of nodes, workers or zones.
struct Fault {
    bool operator==(const Fault&) const = default;

    Milliseconds at { 0 };
    FaultKind kind { FaultKind::NodeKill };
    size_t target { 0 };
    Milliseconds duration { 0 };
    Milliseconds delay { 0 };
};

}
