#pragma once

#include <LibCore/Resources.h>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Bergamot {

/// Draws jobs from a seeded mix of kinds and sizes. The same seed and options give the same jobs.
class JobMix {
public:
    struct Options {
        uint64_t seed { 1 };
        std::vector<std::string> kinds { "settlement" };
        double urgentShare { 0.1 };
        double cancelShare { 0.05 };

        /// Share of jobs that fit on no worker.
        double oversizeShare { 0 };
        double medianRunMs { 5000 };
    };

    struct Job {
        std::string kind;
        Resources size;
        int64_t runMs { 0 };
        bool isUrgent { false };

        /// Milliseconds after the submission at which the job is cancelled, or -1.
        int64_t cancelAfterMs { -1 };

        bool operator==(const Job&) const = default;
    };

    explicit JobMix(Options);

    Job next();

private:
    bool happens(double share);

    Options m_options;
    std::mt19937_64 m_random;
};

}
