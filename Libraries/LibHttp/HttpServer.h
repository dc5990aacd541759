#pragma once

#include <LibHttp/HttpLimits.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <absl/status/statusor.h>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Pistache::Tcp {
class Listener;
}

namespace Bergamot {

/// HTTP/1.1 server on Pistache. The handler runs on a Pistache thread and may answer later from another thread.
class HttpServer {
public:
    using Handler = std::function<void(HttpRequest, HttpResponder)>;

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
    size_t requestsInProgress() const { return m_inProgress->load(); }

    /// Closes the listener and all connections. Pistache cuts off unanswered requests here, so the caller first
    /// waits until requestsInProgress() is zero.
    void shutdown();

private:
    HttpServer() = default;

    std::unique_ptr<Pistache::Tcp::Listener> m_listener;
    std::shared_ptr<std::atomic<size_t>> m_inProgress { std::make_shared<std::atomic<size_t>>(0) };
    bool m_stopped { false };
};

}
