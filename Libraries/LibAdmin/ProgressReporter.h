#pragma once

#include <LibCore/Clock.h>
#include <ostream>
#include <string>

namespace Bergamot {

/// Tells the operator on standard error what a command waits for, when it takes longer than 2 s, and every 2 s from
/// then on.
class ProgressReporter {
public:
    static constexpr Milliseconds interval { 2000 };

    ProgressReporter(std::ostream& err, const Clock& clock);

    /// Called often while waiting.
    void waitingFor(const std::string& what);

private:
    std::ostream& m_err;
    const Clock& m_clock;
    Instant m_start;
    Instant m_lastReport;
};

}
