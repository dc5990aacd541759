#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>

namespace Bergamot {

/// Settings of the batch scheduler. The boolean switches are for baselines and ablations in the benchmark.
struct SchedulerOptions {
    uint64_t seed { 1 };
    size_t maxPlacementsPerTick { 64 };
    size_t maxEvictionsPerTick { 64 };
    /// Time from a measurement on a worker until its report arrives.
    Milliseconds reportLag { 10'000 };
    /// An eviction that taskRevoking() has not confirmed is decided again after this time.
    Milliseconds decisionRetryInterval { 3'000 };
    /// An eviction whose attempt has not ended after this time is repeated without a checkpoint.
    Milliseconds checkpointTimeout { 20'000 };
    /// Checkpoint timeout of an eviction that frees resources for an urgent job, which must start within 7.1 s.
    Milliseconds urgentCheckpointTimeout { 4'000 };
    /// Increase of a service's latency that placement may cause, as a ratio.
    double latencyBudget { 0.08 };
    /// Increase of a service's latency, as a ratio, at which tasks that yield to the service are throttled or
    /// evicted.
    double latencyLimit { 0.10 };
    /// No task is evicted twice for the same reason within this time.
    Milliseconds minReevictionInterval { 1'800'000 };
    /// Evictions for interference, usage above the declaration and reservations, per worker and hour.
    double evictionsPerWorkerHour { 4.0 };
    /// A job that has waited this long for resources gets a reservation.
    Milliseconds reserveAfter { 20'000 };
    /// Restarts of lost tasks per second while many are lost at once.
    double maxRestartsPerSecond { 25.0 };

    bool firstFit { false };
    bool sharesHosts { true };
    bool avoidsInterference { true };
    bool explores { true };
    bool reactsToLatency { true };
    bool throttlesFirst { true };
    bool learnsUse { true };
    bool watchesUse { true };
    bool spreadsServices { true };
    bool keepsAccelerators { true };
    bool reserves { true };
    bool learnsRunTimes { true };
    bool quarantines { true };
    bool pacesRecovery { true };
    bool refillsGradually { true };
    bool ordersZoneEvictions { true };

    /// Places at most one replica of a service on a worker. For services whose limits belong to the worker, such as
    /// request slots, a second replica on the same worker adds no capacity.
    bool oneReplicaPerWorker { false };

    bool operator==(const SchedulerOptions&) const = default;
};

}
