#pragma once

#include <LibCore/Time.h>

namespace Bergamot {

/// Tells whether this process may answer with the configuration that it holds. A process that was paused, for example
/// by a suspended host, may have missed a version that was accepted meanwhile, so it answers only after it has
/// confirmed the version: by a read of the configuration stream, or by evidence that began after the pause.
class PauseGuard {
public:
    /// Reports that the process is running. `hasAuthority` is true while this process has the authority of section D7
    /// of the design page.
    void ticked(Instant now, bool hasAuthority);

    /// Reports a read that reached the head of the configuration stream; `requestSentAt` is the local time at which it
    /// was sent.
    void configReadSucceeded(Instant requestSentAt);

    bool isConfigConfirmed(Instant now) const;

private:
    Instant m_lastTick { neverInstant };
    Instant m_lastConfigRead { neverInstant };

    /// End of the last pause whose missed versions may still be unknown; neverInstant when there is none.
    Instant m_resumedAt { neverInstant };
};

}
