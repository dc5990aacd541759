#pragma once

#include <cstddef>
#include <cstdint>

namespace Bergamot {

// Limits of a job. A job beyond them is not accepted, and a stored record beyond them is not read.

inline constexpr size_t maxStepsPerJob = 256;
inline constexpr int64_t maxTasksPerStep = 10'000;
inline constexpr int64_t maxRepeatsPerJob = 100'000;

/// Bounds the memory of the leader, which keeps some 10 bytes for each task that waits, and about 300 for each that
/// runs. Of a repeating job it keeps the live occurrences only.
inline constexpr int64_t maxTasksPerJob = 50'000;

/// Limit of each resource that one task reserves.
inline constexpr int64_t maxTaskResource = int64_t { 1 } << 30;

/// Limit of points in time, in milliseconds from 1970.
inline constexpr int64_t maxUnixMs = int64_t { 1 } << 50;

/// Limit of QueuePolicy::stretch. With it, no objective overflows.
inline constexpr double maxStretch = 1e6;

}
