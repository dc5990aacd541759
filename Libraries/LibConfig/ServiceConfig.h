#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// A latency-critical service that runs on workers and serves quick requests.
struct ServiceConfig {
    std::string name {};
    /// Number of requests that one worker serves concurrently.
    int64_t slotsPerWorker { 8 };
    /// Number of connections that one worker accepts; at least `slotsPerWorker`.
    int64_t connectionsPerWorker { 64 };
    Milliseconds timeout { 1000 };
    /// The latency objective: `objectivePercent` of the requests must have a lower latency.
    Milliseconds latencyTarget { 100 };
    double objectivePercent { 99.9 };
    /// The resources reserved for one replica.
    Resources replica {};
    /// Number of replicas; 0 means one on every worker.
    int64_t replicas { 0 };
    int32_t priority { 100 };
    /// Replicas are spread evenly over the available zones.
    bool zoneSpread { true };

    bool operator==(const ServiceConfig&) const = default;
};

}
