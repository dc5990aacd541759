#pragma once

#include <cstdint>
#include <string>

namespace Bergamot {

/// The state of a host as the host list showed it from a time on.
struct HostStateEvent {
    std::string worker {};
    std::string state {};
    int64_t shownAtMs { 0 };
};

/// An operator's order to take a zone out or back, at the time at which it was answered.
struct ZoneEvent {
    std::string zone {};
    bool isOut { false };
    int64_t atMs { 0 };
};

/// The stop of an entry daemon, from the signal to the end of the process or until it is ready again.
struct StopEvent {
    std::string entry {};
    bool isPlanned { false };
    int64_t atMs { 0 };
    int64_t untilMs { 0 };
};

/// A configuration version that an operator's call got accepted.
struct ConfigAcceptedEvent {
    int64_t version { 0 };
    int64_t atMs { 0 };
};

/// The configuration version that a daemon reported.
struct ConfigSeenEvent {
    std::string entry {};
    int64_t version { 0 };
    int64_t atMs { 0 };
};

}
