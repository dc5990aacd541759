#include <LibDecision/RetryBudget.h>
#include <algorithm>

namespace Bergamot {

namespace {
    constexpr int64_t oneTry = 1000;
}

absl::StatusOr<RetryBudget> RetryBudget::create(Options options)
{
    if (options.shareMillis < 0 || options.shareMillis > oneTry)
        return absl::InvalidArgumentError("retry budget: the share is not between 0 and 1000 thousandths");
    if (options.maxSaved < 1 || options.maxSaved > 1000000)
        return absl::InvalidArgumentError("retry budget: the saved tries are out of range");
    if (options.maxTries < 1)
        return absl::InvalidArgumentError("retry budget: at least one try is needed");
    if (options.baseBackoff < Milliseconds(0) || options.maxBackoff < options.baseBackoff
        || options.maxBackoff > std::chrono::hours(1))
        return absl::InvalidArgumentError("retry budget: the backoff is out of range");
    return RetryBudget(options);
}

RetryBudget::RetryBudget(Options options)
    : m_options(options)
{
}

void RetryBudget::noteFirstTry()
{
    m_savedMillis = std::min(m_savedMillis + m_options.shareMillis, m_options.maxSaved * oneTry);
}

absl::Status RetryBudget::check(const Try& last, Instant now)
{
    if (now < m_now)
        return absl::InvalidArgumentError("retry budget: time went back");
    if (last.tries < 1 || last.expected < Milliseconds(0))
        return absl::InvalidArgumentError("retry budget: the number of tries or the expected duration is out of range");
    m_now = now;
    return absl::OkStatus();
}

RetryBudget::Verdict RetryBudget::takeToken()
{
    if (m_savedMillis < oneTry)
        return Verdict::Budget;
    m_savedMillis -= oneTry;
    return Verdict::Granted;
}

absl::StatusOr<RetryBudget::Decision> RetryBudget::retry(const Try& last, Instant now, uint64_t random)
{
    if (auto status = check(last, now); !status.ok())
        return status;
    if (!last.idempotent && !last.didNotRun)
        return Decision { .verdict = Verdict::NotRepeatable };
    if (last.tries >= m_options.maxTries)
        return Decision { .verdict = Verdict::TriesExhausted };
    // Full jitter: simultaneous failures would otherwise come back at the same time.
    const auto doublings = std::min(last.tries - 1, 16);
    const auto ceiling = std::min(m_options.maxBackoff, m_options.baseBackoff * (int64_t { 1 } << doublings));
    const Milliseconds backoff(static_cast<int64_t>(random % static_cast<uint64_t>(ceiling.count() + 1)));
    if (last.deadline - now < backoff + last.expected)
        return Decision { .verdict = Verdict::Deadline };
    return Decision { .verdict = takeToken(), .backoff = backoff };
}

absl::StatusOr<RetryBudget::Decision> RetryBudget::hedge(const Try& last, Instant now)
{
    if (auto status = check(last, now); !status.ok())
        return status;
    if (!last.idempotent)
        return Decision { .verdict = Verdict::NotRepeatable };
    if (last.tries >= m_options.maxTries)
        return Decision { .verdict = Verdict::TriesExhausted };
    if (last.deadline - now < last.expected)
        return Decision { .verdict = Verdict::Deadline };
    return Decision { .verdict = takeToken() };
}

}
