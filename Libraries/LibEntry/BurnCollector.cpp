#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibEntry/BurnCollector.h>
#include <utility>

namespace Bergamot {

uint64_t BurnCollector::startReport(BurnSlice own, std::set<MemberId> peers, Instant now, Done done)
{
    auto requestId = ++m_lastRequestId;
    bool isComplete = peers.empty();
    m_reports.emplace(requestId,
        Report { .slices = { std::move(own) },
            .pendingMembers = std::move(peers),
            .deadline = now + replyTimeout,
            .done = std::move(done) });
    if (isComplete)
        finish(requestId);
    return requestId;
}

void BurnCollector::receiveReply(uint64_t requestId, const MemberId& member, std::string_view text)
{
    auto it = m_reports.find(requestId);
    if (it == m_reports.end() || !it->second.pendingMembers.contains(member))
        return;
    auto slice = decodeBurnSlice(text);
    if (!slice.ok() || slice->member != member) {
        logWarning("burn_slice_ignored", { { "member", member }, { "error", statusText(slice.status()) } });
        return;
    }
    it->second.slices.push_back(std::move(*slice));
    it->second.pendingMembers.erase(member);
    if (it->second.pendingMembers.empty())
        finish(requestId);
}

void BurnCollector::tick(Instant now)
{
    std::vector<uint64_t> expired;
    for (const auto& [requestId, report] : m_reports) {
        if (report.deadline <= now)
            expired.push_back(requestId);
    }
    for (auto requestId : expired)
        finish(requestId);
}

void BurnCollector::finish(uint64_t requestId)
{
    auto report = std::move(m_reports.extract(requestId).mapped());
    std::vector<MemberId> missing(report.pendingMembers.begin(), report.pendingMembers.end());
    report.done(mergeBurn(report.slices, missing));
}

}
