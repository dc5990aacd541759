#pragma once

#include <absl/status/status.h>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace Bergamot {

/// Measures the recovery of a node beside ended jobs, and how ended jobs fill the store.
class RecoveryBench {
public:
    struct Options {
        uint64_t seed { 1 };

        /// The program bergamot-node.
        std::string program {};

        /// Numbers of ended jobs, one recovery each.
        std::vector<uint64_t> endedJobs { 1'000, 10'000, 100'000, 250'000, 1'000'000 };
    };

    explicit RecoveryBench(Options options);

    /// Writes one JSON line for each recovery, and one with the slopes from the first to the last one. Stops at the
    /// first recovery that cannot be run.
    absl::Status measureRecoveries(std::ostream&) const;

    /// Writes one JSON line for each sample of a month at 9,700 jobs a day, and of a day at 8.9 jobs a second.
    void modelStoreSize(std::ostream&) const;

private:
    Options m_options;
};

}
