#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibEntry/BurnCollector.h>
#include <utility>

namespace Bergamot {

uint64_t BurnCollector::begin(BurnSlice own, std::set<MemberId> peers, Instant now, Done done)
{
    auto request = ++m_lastRequest;
    bool complete = peers.empty();
    m_reports.emplace(request,
        Report { .slices = { std::move(own) },
            .awaited = std::move(peers),
            .deadline = now + answerTimeout,
            .done = std::move(done) });
    if (complete)
        finish(request);
    return request;
}

void BurnCollector::answered(uint64_t request, const MemberId& member, std::string_view text)
{
    auto it = m_reports.find(request);
    if (it == m_reports.end() || !it->second.awaited.contains(member))
        return;
    auto slice = decodeBurnSlice(text);
    if (!slice.ok() || slice->member != member) {
        logWarning("burn_slice_ignored", { { "member", member }, { "error", statusText(slice.status()) } });
        return;
    }
    it->second.slices.push_back(std::move(*slice));
    it->second.awaited.erase(member);
    if (it->second.awaited.empty())
        finish(request);
}

void BurnCollector::tick(Instant now)
{
    std::vector<uint64_t> due;
    for (const auto& [request, report] : m_reports) {
        if (report.deadline <= now)
            due.push_back(request);
    }
    for (auto request : due)
        finish(request);
}

void BurnCollector::finish(uint64_t request)
{
    auto report = std::move(m_reports.extract(request).mapped());
    std::vector<MemberId> missing(report.awaited.begin(), report.awaited.end());
    report.done(mergeBurn(report.slices, missing));
}

}
