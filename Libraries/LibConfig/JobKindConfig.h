#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// A kind of batch job, with the defaults for values that a submission omits.
struct JobKindConfig {
    std::string name {};
    Resources size {};
    Milliseconds run { 0 };
    /// Attempts that may fail before the job ends as failed.
    int64_t maxAttempts { 3 };
    int32_t priority { 0 };
    /// The job never has two attempts running at the same time and completes once. An attempt on an unreachable worker
    /// is replaced only after the worker has replied or has been removed from the host list.
    bool singleRun { true };
    /// Names of the services and job kinds that may evict an attempt of this kind, sorted.
    std::vector<std::string> yieldsTo {};
    /// Names of the teams that may submit this kind, sorted; empty means every team.
    std::vector<std::string> teams {};

    bool operator==(const JobKindConfig&) const = default;
};

}
