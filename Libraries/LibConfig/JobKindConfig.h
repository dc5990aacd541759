#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Bergamot {

/// A kind of batch job, with the values that apply when a caller leaves them out.
struct JobKindConfig {
    std::string name {};
    Resources size {};
    Milliseconds run { 0 };
    /// Attempts that may fail before the job ends as failed.
    int64_t maxAttempts { 3 };
    int32_t priority { 0 };
    /// The job completes once: a cut-off attempt is replaced only after its worker has answered or has left the host
    /// list.
    bool singleRun { true };
    /// Names of the services or job kinds for which an attempt may be evicted, sorted.
    std::vector<std::string> yieldsTo {};
    /// Names of the teams that may submit this kind, sorted; empty means every team.
    std::vector<std::string> teams {};

    bool operator==(const JobKindConfig&) const = default;
};

}
