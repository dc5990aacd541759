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

/// Forwards TCP connections on loopback and injects network faults. It is used on the event loop's thread only.
class TcpProxy {
public:
    struct Endpoint {
        std::string ip;
        uint16_t port { 0 };
    };

    static absl::StatusOr<std::unique_ptr<TcpProxy>> create(EventLoop&, const Endpoint& listen, Endpoint target);
    ~TcpProxy();

    /// For `duration`, forwards bytes with this delay in both directions.
    void delay(Milliseconds, Milliseconds duration);

    /// For `duration`, forwards no bytes in one direction, and forwards them afterwards: to the callers when
    /// `towardsCaller` is set, else to the target.
    void stall(bool towardsCaller, Milliseconds duration);

    void resetConnections();

    /// Resets all open connections, and each new connection on arrival until refusing is switched off.
    void setRefusingConnections(bool);

    /// Resets all open connections and closes the listening socket, so that the network stack refuses new connections.
    void stopListening();
    absl::Status startListening();

private:
    struct Chunk {
        Instant dueAt;
        std::string bytes;
    };

    /// One direction of a connection, with the bytes that are received but not forwarded.
    struct Direction {
        int from { -1 };
        int to { -1 };
        bool towardsCaller { false };
        bool hasEnded { false };
        bool hasTimer { false };
        std::deque<Chunk> chunks;
    };

    struct Connection {
        Direction toTarget;
        Direction toCaller;
    };

    TcpProxy(EventLoop&, Endpoint listen, Endpoint target);
    void acceptNext();
    void watchDirection(uint64_t id, bool towardsCaller);
    void handleReadable(uint64_t id, bool towardsCaller);
    void flush(uint64_t id, bool towardsCaller);
    void callAfterDelay(Milliseconds, std::function<void()>);
    Instant computeDueTime(const Direction&) const;
    void close(uint64_t id, bool reset);

    EventLoop& m_loop;
    Endpoint m_listenAt;
    Endpoint m_target;
    int m_listener { -1 };
    bool m_isRefusing { false };
    Milliseconds m_delay { 0 };
    Instant m_delayedUntil { neverInstant };
    Instant m_stalledUntil[2] { neverInstant, neverInstant };
    std::map<uint64_t, Connection> m_connections;
    uint64_t m_nextConnectionId { 1 };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
