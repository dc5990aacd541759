#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace Bergamot {

/// Results of one run in virtual time.
struct RunResult {
    double serviceP50 { 0 };
    double serviceP99 { 0 };
    double serviceP999 { 0 };
    double shareWithinTarget { 0 };
    /// Core hours of batch work, without progress that was lost.
    double batchCoreHours { 0 };
    double zoneOutCoreHours { 0 };
    double afterReturnCoreHours { 0 };
    double lostCoreHours { 0 };
    double evictionsPerHour { 0 };
    double serviceDowntime { 0 };
    /// Largest share of the tasks of one service kind that was unavailable at the same time.
    double maxKindDownShare { 0 };
    double urgentStartP99 { 0 };
    double urgentStartMax { 0 };
    uint64_t urgentStarts { 0 };
    double fairness { 0 };
    double largeWaitP90 { 0 };
    double acceleratorWaitP90 { 0 };
    double deadlinesMet { 0 };
    uint64_t overCommitments { 0 };
    uint64_t duplicateRuns { 0 };
    uint64_t zoneOutStarts { 0 };
    uint64_t rejectedInputs { 0 };
    uint64_t starts { 0 };
    uint64_t completed { 0 };
    uint64_t permanentlyFailed { 0 };
    uint64_t wronglyFailed { 0 };
    uint64_t failedAttempts { 0 };
    uint64_t pending { 0 };
    double microsPerDecision { 0 };
    double maxTickMicros { 0 };
    double coreShare { 0 };
    uint64_t stateBytes { 0 };
    std::map<std::string, uint64_t> evictionsByReason {};
};

}
