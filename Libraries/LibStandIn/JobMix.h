#pragma once

#include <LibCore/Resources.h>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Bergamot {

/// Generates jobs of random kinds and sizes. The same seed and options give the same sequence of jobs.
class JobMix {
public:
    struct Options {
        uint64_t seed { 1 };
        std::vector<std::string> kinds { "settlement" };
        double urgentShare { 0.1 };
        double cancelShare { 0.05 };

        /// Share of jobs whose CPU demand exceeds the capacity of every worker.
        double oversizeShare { 0 };
        double medianRunMs { 5000 };
    };

    struct Job {
        std::string kind;
        Resources size;
        int64_t runMs { 0 };
        bool isUrgent { false };

        /// Delay in milliseconds between the submission and the cancellation of the job, or -1 for a job that is not
        /// cancelled.
        int64_t cancelAfterMs { -1 };

        bool operator==(const Job&) const = default;
    };

    explicit JobMix(Options);

    Job next();

private:
    bool drawBool(double probability);

    Options m_options;
    std::mt19937_64 m_random;
};

}
