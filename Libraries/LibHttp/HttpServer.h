#pragma once

#include <LibHttp/HttpLimits.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <LibHttp/SharedServerState.h>
#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Pistache::Tcp {
class Listener;
}

namespace Bergamot {

/// HTTP/1.1 server on Pistache. The handler runs on a Pistache thread and may respond later from another
/// thread.
class HttpServer {
public:
    using Handler = SharedServerState::Handler;

    struct Options {
        std::string address { "127.0.0.1" };
        uint16_t port { 0 };
        int threads { 1 };
        HttpLimits limits {};
        Handler handler {};
    };

    /// Binds the address and starts to serve. Returns Unavailable when binding fails, such as for an address in use.
    static absl::StatusOr<std::unique_ptr<HttpServer>> create(Options);
    ~HttpServer();

    uint16_t port() const;

    /// Number of requests that have been received but not answered.
    size_t requestsInProgress() const { return m_state->requestsInProgress.load(); }

    /// Number of requests that are being read, are in progress, or whose response has not been written in full. No
    /// request starts once this is zero after stopReading().
    size_t unfinishedRequests() const { return m_state->unfinishedRequests.load(); }

    /// From this call on, the response to the last request that has been read from a connection has the header
    /// `Connection: close`, and the connection closes after it. May be called from any thread.
    void closeConnectionsAfterResponses() { m_state->isClosingConnections = true; }

    /// Stops reading from all connections. A connection whose requests have all been answered closes; requests that
    /// have been read completely are still answered. May be called from any thread.
    void stopReading() { m_state->stopReading(); }

    /// Replaces the limits, also for open connections. May be called from any thread.
    void setLimits(const HttpLimits&);

    /// Closes the listener and all connections. Pistache drops unfinished requests here, so the caller must first call
    /// stopReading() and wait until unfinishedRequests() is zero.
    void shutdown();

private:
    explicit HttpServer(std::shared_ptr<SharedServerState>);

    std::unique_ptr<Pistache::Tcp::Listener> m_listener;
    std::shared_ptr<SharedServerState> m_state;
    bool m_isStopped { false };
};

}
