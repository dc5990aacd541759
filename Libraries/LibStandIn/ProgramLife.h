#pragma once

#include <csignal>

namespace Bergamot {

/// Lets a program wait for SIGTERM or SIGINT. Must be created before the first thread starts.
class ProgramLife {
public:
    static ProgramLife blockStopSignals();

    /// Returns when a stop signal has arrived.
    void wait() const;

private:
    ProgramLife() = default;

    sigset_t m_signals {};
};

}
