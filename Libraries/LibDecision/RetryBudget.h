#pragma once

#include <LibCore/Time.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>

namespace Bergamot {

/// Limits retries and hedged requests to a share of the first tries, so that retries cannot amplify an overload.
/// Not thread-safe. Each service has its own budget.
class RetryBudget {
public:
    struct Options {
        /// Maximum number of retries and hedged requests per first try, in thousandths.
        int64_t shareMillis { 100 };
        /// Maximum number of unused tries that the budget accumulates.
        int64_t maxSavedTries { 100 };
        int32_t maxTries { 3 };
        Milliseconds baseBackoff { 10 };
        Milliseconds maxBackoff { 250 };
    };

    struct Try {
        /// Number of tries made, at least 1.
        int32_t tries { 1 };
        Instant deadline {};
        /// Expected duration of the next try; it must end before the deadline.
        Milliseconds expectedDuration { 0 };
        bool isIdempotent { false };
        /// True when the upstream is known not to have run the failed try (`ran: no`).
        bool didNotRun { false };
    };

    enum class Outcome {
        Granted,
        NotRetryable,
        TriesExhausted,
        DeadlineTooClose,
        BudgetExhausted,
    };

    struct Decision {
        Outcome outcome { Outcome::BudgetExhausted };
        /// Wait before the next try.
        Milliseconds backoff { 0 };
    };

    static absl::StatusOr<RetryBudget> create(Options);

    /// Adds the share of one first try to the budget.
    void recordFirstTry();

    /// Decides whether a failed request is retried, and deducts a granted retry from the budget. `random` selects the
    /// backoff.
    absl::StatusOr<Decision> retry(const Try&, Instant now, uint64_t random);

    /// Decides whether a slow request is hedged with a parallel try, and deducts a granted try from the budget. Only
    /// idempotent requests are hedged.
    absl::StatusOr<Decision> hedge(const Try&, Instant now);

    /// Tries left in the budget, in thousandths.
    int64_t savedMillis() const { return m_savedMillis; }

private:
    explicit RetryBudget(Options);
    absl::Status validate(const Try&, Instant now);
    Outcome takeToken();

    Options m_options;
    Instant m_now {};
    int64_t m_savedMillis { 0 };
};

}
