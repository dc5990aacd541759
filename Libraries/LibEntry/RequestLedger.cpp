#include <LibEntry/RequestLedger.h>
#include <utility>

namespace Bergamot {

void RequestLedger::claim(const std::string& key, uint64_t digest, Instant deadline, Done done)
{
    if (m_region.state().image().claims.contains(key) || m_pendingKeys.contains(key)) {
        done(existingClaimResult(key, digest));
        return;
    }
    if (m_abandonedKeys.contains(key)) {
        done(ClaimUnresolved {});
        return;
    }
    if (m_region.appends().isStalled(m_clock.now())) {
        done(ClaimRejected { .reason = "the log does not take records now" });
        return;
    }
    m_pendingKeys.insert(key);
    m_region.appends().submit(
        RequestClaimed { .key = key, .digest = digest },
        [this, key, digest, done = std::move(done)](const absl::Status& status) {
            m_pendingKeys.erase(key);
            if (status.ok())
                done(ClaimGranted {});
            else if (absl::IsFailedPrecondition(status))
                done(existingClaimResult(key, digest));
            else if (absl::IsUnknown(status)) {
                // The claim may still be accepted. batchApplied() then releases it because the request is not
                // dispatched.
                m_abandonedKeys.insert(key);
                done(ClaimRejected { .reason = "the log did not answer in time" });
            } else {
                done(ClaimRejected { .reason = "the log did not take the record" });
            }
        },
        deadline);
}

ClaimResult RequestLedger::existingClaimResult(const std::string& key, uint64_t digest) const
{
    auto it = m_region.state().image().claims.find(key);
    if (it == m_region.state().image().claims.end())
        return ClaimUnresolved {};
    if (it->second.digest != digest)
        return ClaimMismatch {};
    if (!it->second.finished)
        return ClaimUnresolved {};
    return ClaimReplay { .status = it->second.status, .body = it->second.body };
}

void RequestLedger::finish(const std::string& key, int32_t status, std::string body)
{
    if (body.size() > maxRecordedBodyBytes)
        body.clear();
    m_region.appends().submit(RequestFinished { .key = key, .status = status, .body = std::move(body) });
}

void RequestLedger::batchApplied(const RecordBatch& batch, const ApplyResult& result)
{
    if (batch.member != m_member || batch.incarnation != m_incarnation)
        return;
    for (size_t i = 0; i < batch.records.size(); ++i) {
        const auto* claim = std::get_if<RequestClaimed>(&batch.records[i]);
        if (!claim || m_abandonedKeys.erase(claim->key) == 0)
            continue;
        if (result.statuses[i].ok())
            finish(claim->key, 0, {});
    }
}

}
