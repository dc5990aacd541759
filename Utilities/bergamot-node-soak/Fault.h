#pragma once

#include <LibCore/Time.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Bergamot {

/// Kinds of faults. The enumerators of nodes, store, links, workers, operator changes and jobs are contiguous in this
/// order, which Soak::inject() relies on. faultNames holds the name of each on the command line.
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
    StoreResets,
    LinkDelay,
    LinkReset,
    LinkSilentToNode,
    LinkSilentToStore,
    WorkerCrash,
    WorkerDelay,
    WorkerReset,
    WorkerSilent,
    WorkerZoneSilent,
    WorkersCutOff,
    LateCalls,
    WorkerShrinks,
    NewConfiguration,
    ZoneOut,
    CrashingTasks
};

/// Command-line names of the fault kinds, in the order of the enumerators.
inline constexpr std::array<std::string_view, 29> faultNames { "node-kill", "node-term", "node-freeze", "all-kill",
    "all-kill-operators-lost", "all-kill-operators-slow", "store-refuses", "store-silent", "store-slow",
    "store-loses-answers", "store-late", "store-operators-lost", "store-forgets", "store-resets", "link-delay",
    "link-reset", "link-silent-to-node", "link-silent-to-store", "worker-crash", "worker-delay", "worker-reset",
    "worker-silent", "worker-zone-silent", "workers-cut-off", "late-calls", "worker-shrinks", "configuration",
    "zone-out", "crashing-tasks" };

/// One fault of the schedule. `target` modulo the number of nodes, workers or zones selects the affected one.
struct Fault {
    bool operator==(const Fault&) const = default;

    /// Time from the start of the run to the fault.
    Milliseconds startOffset { 0 };
    FaultKind kind { FaultKind::NodeKill };
    size_t target { 0 };
    Milliseconds duration { 0 };
    Milliseconds delay { 0 };
};

}
