#pragma once

#include <LibCore/Time.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace Bergamot {

class EventLoop;

/// Forwards TCP connections on loopback and harms them on demand. It runs on the thread of the loop.
class TcpProxy {
public:
    struct Endpoint {
        std::string ip;
        uint16_t port { 0 };
    };

    static absl::StatusOr<std::unique_ptr<TcpProxy>> create(EventLoop&, const Endpoint& listen, Endpoint target);
    ~TcpProxy();

    /// Bytes arrive this much later, in both directions, until the time is over.
    void delay(Milliseconds, Milliseconds duration);

    /// Bytes towards the callers, or towards the target, are held back until the time is over.
    void silence(bool towardsCaller, Milliseconds duration);

    void resetConnections();

    /// While it is refusing, open connections are reset and new ones are reset at once.
    void setRefusing(bool);

private:
    struct Chunk {
        Instant due;
        std::string bytes;
    };

    /// Bytes on their way in one direction of a connection.
    struct Direction {
        int from { -1 };
        int to { -1 };
        bool towardsCaller { false };
        bool ended { false };
        bool timerSet { false };
        std::deque<Chunk> chunks;
    };

    struct Link {
        Direction toTarget;
        Direction toCaller;
    };

    TcpProxy(EventLoop&, Endpoint target);
    void acceptNext();
    void watch(uint64_t id, bool towardsCaller);
    void readable(uint64_t id, bool towardsCaller);
    void flush(uint64_t id, bool towardsCaller);
    void later(Milliseconds, std::function<void()>);
    Instant dueTime(const Direction&) const;
    void close(uint64_t id, bool reset);

    EventLoop& m_loop;
    Endpoint m_target;
    int m_listener { -1 };
    bool m_refusing { false };
    Milliseconds m_delay { 0 };
    Instant m_delayedUntil { neverInstant };
    Instant m_silentUntil[2] { neverInstant, neverInstant };
    std::map<uint64_t, Link> m_links;
    uint64_t m_nextLink { 1 };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
