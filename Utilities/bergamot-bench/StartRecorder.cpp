#include "StartRecorder.h"
#include <chrono>

namespace Bergamot {

void StartRecorder::runStarted(const Run& run, const std::string&, const WorkerLoad&)
{
    if (!m_tasks.insert(run.task).second) {
        ++m_repeatedStarts;
        return;
    }
    auto now = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    if (!m_firstStartAt)
        m_firstStartAt = now;
    m_lastStartAt = now;
}

void StartRecorder::forgetTimes()
{
    m_repeatedStarts = 0;
    m_firstStartAt.reset();
    m_lastStartAt.reset();
}

}
