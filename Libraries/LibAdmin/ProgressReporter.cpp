#include <LibAdmin/ProgressReporter.h>
#include <fmt/format.h>

namespace Bergamot {

ProgressReporter::ProgressReporter(std::ostream& err, const Clock& clock)
    : m_err(err)
    , m_clock(clock)
    , m_start(clock.now())
    , m_lastReport(m_start)
{
}

void ProgressReporter::reportWaitingFor(const std::string& what)
{
    auto now = m_clock.now();
    if (now - m_lastReport < interval)
        return;
    m_lastReport = now;
    auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now - m_start).count();
    m_err << fmt::format("waiting for {} ({} s)\n", what, seconds) << std::flush;
}

}
