#pragma once

#include <LibCore/Clock.h>

namespace Bergamot {

/// A clock that is advanced explicitly by tests.
class NodeTestClock final : public Clock {
public:
    Instant now() const override { return m_now; }
    void advance(Milliseconds time) { m_now += time; }

private:
    Instant m_now { Milliseconds { 100000 } };
};

}
