#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// A latency-critical service that runs on workers and answers quick requests.
struct ServiceConfig {
    std::string name {};
    /// Requests that one worker serves at the same time.
    int64_t slotsPerWorker { 8 };
    /// Connections that one worker accepts; at least `slotsPerWorker`.
    int64_t connectionsPerWorker { 64 };
    Milliseconds timeout { 1000 };
    /// The latency that `objectivePercent` of the requests must stay below.
    Milliseconds latencyTarget { 100 };
    double objectivePercent { 99.9 };
    /// The size of one replica.
    Resources replica {};
    /// Number of replicas; 0 means one on every worker.
    int64_t replicas { 0 };
    int32_t priority { 100 };
    /// Replicas are spread evenly over the zones in service.
    bool zoneSpread { true };

    bool operator==(const ServiceConfig&) const = default;
};

}
