#pragma once

#include <LibAdmin/LogLine.h>
#include <string>
#include <vector>

namespace Bergamot {

/// Analyzes the logs of several hosts for one job: lists its lines in order of time, the causes of its failure or delay
/// that the lines prove, and the lines that are missing.
class JobLogAnalysis {
public:
    /// `lines` may come from any number of hosts and be in any order.
    JobLogAnalysis(std::string job, std::vector<LogLine> lines);

    /// The lines of the job and the leadership changes between them, in order of time.
    const std::vector<LogLine>& lines() const { return m_relevantLines; }
    const std::vector<std::string>& causes() const { return m_causes; }
    const std::vector<std::string>& missing() const { return m_missing; }

private:
    std::vector<const LogLine*> linesOf(const std::string& event) const;
    void explainSubmission();
    void explainReadDelay();
    void explainOutcome();
    void explainDelay(const LogLine& end);
    void explainCrashes(const LogLine& end);
    void explainFailedRuns(const LogLine& end);
    void addLeadershipChanges();

    std::string m_job;
    std::vector<LogLine> m_lines;
    std::vector<LogLine> m_relevantLines;
    std::vector<std::string> m_causes;
    std::vector<std::string> m_missing;
};

}
