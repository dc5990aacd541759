#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace Bergamot {

/// Measures of one run in virtual time.
struct RunResult {
    double serviceP50 { 0 };
    double serviceP99 { 0 };
    double serviceP999 { 0 };
    double withinTarget { 0 };
    /// Core hours of batch work done and not lost.
    double batchWork { 0 };
    double workWhileZoneOut { 0 };
    double workAfterReturn { 0 };
    double lostWork { 0 };
    double evictionsPerHour { 0 };
    double serviceDowntime { 0 };
    /// Largest share of the tasks of one service kind that was down at once.
    double worstKindDown { 0 };
    double urgentStartP99 { 0 };
    double urgentStartMax { 0 };
    uint64_t urgentStarts { 0 };
    double fairness { 0 };
    double largeWaitP90 { 0 };
    double acceleratorWaitP90 { 0 };
    double deadlinesMet { 0 };
    uint64_t overCommitments { 0 };
    uint64_t doubleRuns { 0 };
    uint64_t zoneOutStarts { 0 };
    uint64_t refusedInputs { 0 };
    uint64_t starts { 0 };
    uint64_t completed { 0 };
    uint64_t failedForGood { 0 };
    uint64_t wronglyFailed { 0 };
    uint64_t failedAttempts { 0 };
    uint64_t pending { 0 };
    double microsPerDecision { 0 };
    double worstTickMicros { 0 };
    double coreShare { 0 };
    uint64_t stateBytes { 0 };
    std::map<std::string, uint64_t> evictionsByReason {};
};

}
