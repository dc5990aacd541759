#pragma once

#include <csignal>

namespace Bergamot {

/// Blocks SIGTERM and SIGINT, so that a program can wait for them. Must be created before the first thread starts,
/// because threads inherit the signal mask.
class StopSignals {
public:
    static StopSignals block();

    /// Waits until SIGTERM or SIGINT arrives.
    void wait() const;

private:
    StopSignals() = default;

    sigset_t m_signals {};
};

}
