#pragma once

#include <LibCore/Time.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>

namespace Bergamot {

/// Bounds retries and hedges to a share of first tries, so that retries cannot multiply an overload.
/// Not thread-safe; one object for each service.
class RetryBudget {
public:
    struct Options {
        /// Second and later tries per first try, in thousandths.
        int64_t shareMillis { 100 };
        /// Most tries that can be saved up.
        int64_t maxSaved { 100 };
        int32_t maxTries { 3 };
        Milliseconds baseBackoff { 10 };
        Milliseconds maxBackoff { 250 };
    };

    struct Try {
        /// Tries made so far, at least 1.
        int32_t tries { 1 };
        Instant deadline {};
        /// Expected duration of the next try.
        Milliseconds expected { 0 };
        bool idempotent { false };
        /// True when the failed try is known not to have run (`ran: no`).
        bool didNotRun { false };
    };

    enum class Verdict {
        Granted,
        NotRepeatable,
        TriesExhausted,
        Deadline,
        Budget,
    };

    struct Decision {
        Verdict verdict { Verdict::Budget };
        /// Wait before the next try.
        Milliseconds backoff { 0 };
    };

    static absl::StatusOr<RetryBudget> create(Options);

    /// Counts the first try of a request; it feeds the budget.
    void noteFirstTry();

    /// Decides on another try after a failure, and takes it from the budget when granted.
    absl::StatusOr<Decision> retry(const Try&, Instant now, uint64_t random);

    /// Decides on a second try in parallel to one that is slow. Only for idempotent requests.
    absl::StatusOr<Decision> hedge(const Try&, Instant now);

    /// Tries that the budget allows now, in thousandths.
    int64_t savedMillis() const { return m_savedMillis; }

private:
    explicit RetryBudget(Options);
    absl::Status check(const Try&, Instant now);
    Verdict takeToken();

    Options m_options;
    Instant m_now {};
    int64_t m_savedMillis { 0 };
};

}
