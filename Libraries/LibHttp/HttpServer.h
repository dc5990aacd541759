#pragma once

#include <LibHttp/HttpLimits.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <LibHttp/ServerShared.h>
#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Pistache::Tcp {
class Listener;
}

namespace Bergamot {

/// HTTP/1.1 server on Pistache. The handler runs on a Pistache thread and may answer later from another thread.
class HttpServer {
public:
    using Handler = ServerShared::Handler;

    struct Options {
        std::string address { "127.0.0.1" };
        uint16_t port { 0 };
        int threads { 1 };
        HttpLimits limits {};
        Handler handler {};
    };

    /// Binds and starts to serve. Returns Unavailable when the address is in use.
    static absl::StatusOr<std::unique_ptr<HttpServer>> create(Options);
    ~HttpServer();

    uint16_t port() const;

    /// Requests that have arrived and are not answered yet.
    size_t requestsInProgress() const { return m_shared->inProgress.load(); }

    /// Replaces the limits, also for open connections. May be called from any thread.
    void setLimits(const HttpLimits&);

    /// Closes the listener and all connections. Pistache cuts off unanswered requests here, so the caller first
    /// waits until requestsInProgress() is zero.
    void shutdown();

private:
    explicit HttpServer(std::shared_ptr<ServerShared>);

    std::unique_ptr<Pistache::Tcp::Listener> m_listener;
    std::shared_ptr<ServerShared> m_shared;
    bool m_stopped { false };
};

}
