#pragma once

#include <LibEntry/ClaimResult.h>
#include <LibEntry/LogStream.h>
#include <functional>
#include <set>
#include <string>

namespace Bergamot {

/// Claims of non-idempotent requests in the log (section D9 of the design page). Runs on the control thread.
class RequestLedger {
public:
    using Done = std::function<void(ClaimResult)>;

    /// Answers longer than this are recorded without their body, so that the log stays small.
    static constexpr size_t maxRecordedBody = 1024;

    RequestLedger(LogStream& region, const Clock& clock, MemberId member, uint64_t incarnation)
        : m_region(region)
        , m_clock(clock)
        , m_member(std::move(member))
        , m_incarnation(incarnation)
    {
    }

    /// Claims the key; `done` is called once, by the deadline at the latest.
    void claim(const std::string& key, uint64_t digest, Instant deadline, Done);

    /// Records the outcome of a granted claim. Status 0 releases it: the request was never dispatched.
    void finish(const std::string& key, int32_t status, std::string body);

    /// Must see every applied batch: releases claims that were accepted after their caller had been refused.
    void batchApplied(const RecordBatch&, const ApplyResult&);

private:
    ClaimResult resultFor(const std::string& key, uint64_t digest) const;

    LogStream& m_region;
    const Clock& m_clock;
    MemberId m_member;
    uint64_t m_incarnation;

    /// Keys whose claim was submitted and whose caller still waits for it.
    std::set<std::string> m_awaited;
    std::set<std::string> m_abandoned;
};

}
