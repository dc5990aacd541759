#include <LibDecision/RetryBudget.h>
#include <algorithm>

namespace Bergamot {

namespace {
    constexpr int64_t thousandthsPerTry = 1000;
}

absl::StatusOr<RetryBudget> RetryBudget::create(Options options)
{
    if (options.shareMillis < 0 || options.shareMillis > thousandthsPerTry)
        return absl::InvalidArgumentError("retry budget: the share is not between 0 and 1000 thousandths");
    if (options.maxSavedTries < 1 || options.maxSavedTries > 1000000)
        return absl::InvalidArgumentError("retry budget: the maximum number of saved tries is out of range");
    if (options.maxTries < 1)
        return absl::InvalidArgumentError("retry budget: the maximum number of tries is below 1");
    if (options.baseBackoff < Milliseconds(0) || options.maxBackoff < options.baseBackoff
        || options.maxBackoff > std::chrono::hours(1))
        return absl::InvalidArgumentError("retry budget: the backoff is out of range");
    return RetryBudget(options);
}

RetryBudget::RetryBudget(Options options)
    : m_options(options)
{
}

void RetryBudget::recordFirstTry()
{
    m_savedMillis = std::min(m_savedMillis + m_options.shareMillis, m_options.maxSavedTries * thousandthsPerTry);
}

absl::Status RetryBudget::validate(const Try& last, Instant now)
{
    if (now < m_now)
        return absl::InvalidArgumentError("retry budget: the time is earlier than that of a previous call");
    if (last.tries < 1 || last.expectedDuration < Milliseconds(0))
        return absl::InvalidArgumentError("retry budget: the number of tries or the expected duration is out of range");
    m_now = now;
    return absl::OkStatus();
}

RetryBudget::Outcome RetryBudget::takeToken()
{
    if (m_savedMillis < thousandthsPerTry)
        return Outcome::BudgetExhausted;
    m_savedMillis -= thousandthsPerTry;
    return Outcome::Granted;
}

absl::StatusOr<RetryBudget::Decision> RetryBudget::retry(const Try& last, Instant now, uint64_t random)
{
    if (auto status = validate(last, now); !status.ok())
        return status;
    if (!last.isIdempotent && !last.didNotRun)
        return Decision { .outcome = Outcome::NotRetryable };
    if (last.tries >= m_options.maxTries)
        return Decision { .outcome = Outcome::TriesExhausted };
    // Full jitter, so that requests that fail at the same time are not retried at the same time.
    const auto doublings = std::min(last.tries - 1, 16);
    const auto ceiling = std::min(m_options.maxBackoff, m_options.baseBackoff * (int64_t { 1 } << doublings));
    const Milliseconds backoff(static_cast<int64_t>(random % static_cast<uint64_t>(ceiling.count() + 1)));
    if (last.deadline - now < backoff + last.expectedDuration)
        return Decision { .outcome = Outcome::DeadlineTooClose };
    return Decision { .outcome = takeToken(), .backoff = backoff };
}

absl::StatusOr<RetryBudget::Decision> RetryBudget::hedge(const Try& last, Instant now)
{
    if (auto status = validate(last, now); !status.ok())
        return status;
    if (!last.isIdempotent)
        return Decision { .outcome = Outcome::NotRetryable };
    if (last.tries >= m_options.maxTries)
        return Decision { .outcome = Outcome::TriesExhausted };
    if (last.deadline - now < last.expectedDuration)
        return Decision { .outcome = Outcome::DeadlineTooClose };
    return Decision { .outcome = takeToken() };
}

}
