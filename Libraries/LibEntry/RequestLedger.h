#pragma once

#include <LibEntry/ClaimResult.h>
#include <LibEntry/LogStream.h>
#include <functional>
#include <set>
#include <string>

namespace Bergamot {

/// Records claims and outcomes of non-idempotent requests in the log, so that a repeated request is not run again
/// (section D9 of the design page). Runs on the control thread.
class RequestLedger {
public:
    using Done = std::function<void(ClaimResult)>;

    /// The outcome of a request with a larger reply is recorded without the body, which limits the size of the log.
    static constexpr size_t maxRecordedBodyBytes = 1024;

    RequestLedger(LogStream& region, const Clock& clock, MemberId member, uint64_t incarnation)
        : m_region(region)
        , m_clock(clock)
        , m_member(std::move(member))
        , m_incarnation(incarnation)
    {
    }

    /// Claims the key. `done` is called once, at the latest when the deadline expires.
    void claim(const std::string& key, uint64_t digest, Instant deadline, Done);

    /// Records the outcome of a granted claim. Status 0 releases the claim of a request that did not run.
    void finish(const std::string& key, int32_t status, std::string body);

    /// Must be called for every applied batch. Releases claims that were accepted after their request had been
    /// rejected.
    void batchApplied(const RecordBatch&, const ApplyResult&);

private:
    ClaimResult existingClaimResult(const std::string& key, uint64_t digest) const;

    LogStream& m_region;
    const Clock& m_clock;
    MemberId m_member;
    uint64_t m_incarnation;

    /// Keys of submitted claims whose callers still wait for the result.
    std::set<std::string> m_pendingKeys;

    /// Keys of claims that timed out with an unknown outcome. They are released if they are accepted later.
    std::set<std::string> m_abandonedKeys;
};

}
