#pragma once

#include <LibCore/Time.h>
#include <absl/status/status.h>

namespace Bergamot {

/// Chooses the time-out of repeatable calls to a service that may be slow or lose answers: a few times the usual
/// response time, doubled after each time-out. Answers both a lost answer, which should cost little, and a slow
/// service, where repeats would queue behind the first call.
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

    /// Takes the result of a call: an answer, a time-out, or a failure that says nothing of the response time.
    void observe(const absl::Status&, Milliseconds responseTime);
    void answered(Milliseconds responseTime);
    void timedOut();

private:
    Options m_options;
    double m_smoothedResponseMs { 0 };
    Milliseconds m_current;
};

}
