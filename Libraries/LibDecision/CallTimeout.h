#pragma once

#include <LibCore/Time.h>
#include <absl/status/status.h>

namespace Bergamot {

/// Chooses the timeout of idempotent calls to a service that may be slow or lose replies: a multiple of the smoothed
/// response time, doubled after each timeout. A short timeout limits the cost of a lost reply; backing off keeps
/// retries from queueing behind the first call at a slow service.
class CallTimeout {
public:
    struct Options {
        Milliseconds minTimeout { 300 };
        Milliseconds maxTimeout { 2200 };
    };

    explicit CallTimeout(Options options)
        : m_options(options)
        , m_current(options.minTimeout)
    {
    }

    Milliseconds current() const { return m_current; }

    /// Records the result of a call. Failures other than DEADLINE_EXCEEDED are ignored, because they carry no
    /// information about the response time.
    void recordResult(const absl::Status&, Milliseconds responseTime);
    void recordReply(Milliseconds responseTime);
    void recordTimeout();

private:
    Options m_options;
    double m_smoothedResponseMs { 0 };
    Milliseconds m_current;
};

}
