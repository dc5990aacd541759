#include <LibDecision/CandidateRanking.h>
#include <algorithm>
#include <utility>

namespace Bergamot {

static bool isWorse(const CandidateRanking::Entry& a, const CandidateRanking::Entry& b)
{
    return a.score == b.score ? a.position > b.position : a.score < b.score;
}

CandidateRanking::CandidateRanking(std::vector<Entry> entries)
    : m_entries(std::move(entries))
{
    std::ranges::make_heap(m_entries, isWorse);
}

void CandidateRanking::updateBest(std::optional<double> score)
{
    std::ranges::pop_heap(m_entries, isWorse);
    if (!score) {
        m_entries.pop_back();
        return;
    }
    m_entries.back().score = *score;
    std::ranges::push_heap(m_entries, isWorse);
}

}
