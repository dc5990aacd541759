#include <LibStandIn/ProgramLife.h>
#include <pthread.h>

namespace Bergamot {

ProgramLife ProgramLife::blockStopSignals()
{
    ProgramLife life;
    sigemptyset(&life.m_signals);
    sigaddset(&life.m_signals, SIGTERM);
    sigaddset(&life.m_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &life.m_signals, nullptr);
    return life;
}

void ProgramLife::wait() const
{
    int received = 0;
    sigwait(&m_signals, &received);
}

}
