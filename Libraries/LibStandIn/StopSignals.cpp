#include <LibStandIn/StopSignals.h>
#include <pthread.h>

namespace Bergamot {

StopSignals StopSignals::block()
{
    StopSignals stopSignals;
    sigemptyset(&stopSignals.m_signals);
    sigaddset(&stopSignals.m_signals, SIGTERM);
    sigaddset(&stopSignals.m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals.m_signals, nullptr);
    return stopSignals;
}

void StopSignals::wait() const
{
    int received = 0;
    sigwait(&m_signals, &received);
}

}
