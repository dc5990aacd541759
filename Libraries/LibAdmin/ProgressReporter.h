#pragma once

#include <LibCore/Clock.h>
#include <ostream>
#include <string>

namespace Bergamot {

/// Reports on standard error what a command waits for, after 2 s and every 2 s from then on.
class ProgressReporter {
public:
    static constexpr Milliseconds interval { 2000 };

    ProgressReporter(std::ostream& err, const Clock& clock);

    /// Writes at most one line per interval. The caller calls it repeatedly during a wait.
    void reportWaitingFor(const std::string& what);

private:
    std::ostream& m_err;
    const Clock& m_clock;
    Instant m_start;
    Instant m_lastReport;
};

}
