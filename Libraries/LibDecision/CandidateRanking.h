#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace Bergamot {

/// Candidates ordered by score. Among equal scores, the candidate with the lowest position comes first.
class CandidateRanking {
public:
    struct Entry {
        double score { 0 };
        size_t position { 0 };
    };

    explicit CandidateRanking(std::vector<Entry>);

    bool isEmpty() const { return m_entries.empty(); }

    /// Position of the best candidate. The ranking must not be empty.
    size_t best() const { return m_entries.front().position; }

    /// Changes the score of the best candidate, or removes it if there is no score.
    void updateBest(std::optional<double> score);

private:
    /// A heap with the best candidate in front.
    std::vector<Entry> m_entries;
};

}
