#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

/// A state of a host and the time from which the host list showed it.
struct HostStateEvent {
    std::string worker {};
    std::string state {};
    int64_t shownAtMs { 0 };
};

/// An operator's command to take a zone out or back, with the time of the reply.
struct ZoneEvent {
    std::string zone {};
    bool isOut { false };
    int64_t atMs { 0 };
};

/// The stop of an entry daemon, from the signal to the exit of the process, or to its readiness after a restart.
struct StopEvent {
    std::string entry {};
    bool isPlanned { false };
    int64_t atMs { 0 };
    int64_t untilMs { 0 };
};

/// The acceptance of a configuration version that an operator published.
struct ConfigAcceptedEvent {
    int64_t version { 0 };
    int64_t atMs { 0 };
};

/// A configuration version that a daemon reported as its current one.
struct ConfigSeenEvent {
    std::string entry {};
    int64_t version { 0 };
    int64_t atMs { 0 };
};

}
