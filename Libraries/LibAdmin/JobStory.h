#pragma once

#include <LibAdmin/LogLine.h>
#include <string>
#include <vector>

namespace Bergamot {

/// What the logs of several hosts say of one job: its lines in order, the cause of its failure or delay as far as they
/// prove it, and what they lack.
class JobStory {
public:
    /// `lines` may be in any order and of any number of hosts.
    JobStory(std::string job, std::vector<LogLine> lines);

    /// Lines of the job, and those of the hosts' state that explain them, in order of time.
    const std::vector<LogLine>& lines() const { return m_story; }
    const std::vector<std::string>& causes() const { return m_causes; }
    const std::vector<std::string>& missing() const { return m_missing; }

private:
    std::vector<const LogLine*> linesOf(const std::string& event) const;
    void explainSubmission();
    void explainReading();
    void explainEnd();
    void explainSteps(const LogLine& end);
    void explainFailedRuns(const LogLine& end);
    void addContext();

    std::string m_job;
    std::vector<LogLine> m_lines;
    std::vector<LogLine> m_story;
    std::vector<std::string> m_causes;
    std::vector<std::string> m_missing;
};

}
