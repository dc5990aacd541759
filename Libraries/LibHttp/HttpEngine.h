#pragma once

#include <LibCore/SteadyClock.h>
#include <LibHttp/HttpCall.h>
#include <LibHttp/HttpReply.h>
#include <absl/status/statusor.h>
#include <atomic>
#include <cstdint>
#include <curl/curl.h>
#include <functional>
#include <memory>
#include <string_view>
#include <thread>
#include <vector>

namespace Bergamot {

class EventLoop;

/// Asynchronous HTTP client on libcurl multi handles. It either has a thread of its own or shares an event loop.
class HttpEngine {
public:
    using Callback = std::function<void(absl::StatusOr<HttpReply>)>;

    struct Options {
        /// Connections kept to one host and port; 0 means no limit.
        long maxConnectionsPerHost { 0 };

        /// Connections kept open between calls. libcurl counts those in use as well: beyond this number, each call that
        /// ends closes a connection.
        long maxIdleConnections { 1024 };

        /// Parts that share out the addresses and the kept connections. libcurl searches lists that grow with the
        /// connections of a part.
        size_t parts { 1 };

        /// Options for a process that may have this many sockets; 0 means that the number is unknown.
        static Options forSockets(int64_t sockets);
    };

    /// An engine with a thread of its own.
    static std::unique_ptr<HttpEngine> create(Options);

    /// An engine that runs on the thread of `loop`, which must outlive it.
    static std::unique_ptr<HttpEngine> create(EventLoop& loop, Options);

    /// Calls in progress get Aborted or Unavailable. With a shared loop, only on its thread or after it has ended.
    ~HttpEngine();

    /// Starts a call from any thread. The callback runs exactly once, on the engine's thread.
    void submit(HttpCall, Callback);

    /// Bytes sent and received so far, bodies only.
    uint64_t bodyBytes() const { return m_bodyBytes; }

    /// Connections opened so far.
    uint64_t connectionsOpened() const { return m_connectionsOpened; }

private:
    struct Transfer;
    struct Part;

    HttpEngine(std::unique_ptr<EventLoop> ownLoop, EventLoop& loop, Options);
    static int onSocketChange(CURL*, curl_socket_t, int what, void* self, void*);
    static int closeSocket(void* self, curl_socket_t);
    static int onTimerChange(CURLM*, long timeoutMs, void* self);
    void start(HttpCall, Callback);
    Part& partOf(std::string_view url);
    void drive(Part&, curl_socket_t, int curlEvents);
    void finishCompleted(Part&);
    void complete(Transfer&, CURLcode);

    SteadyClock m_clock;
    std::unique_ptr<EventLoop> m_ownLoop;
    EventLoop& m_loop;
    Options m_options;

    /// Created when the first call to one of its addresses is made.
    std::vector<std::unique_ptr<Part>> m_parts;
    std::vector<std::unique_ptr<Transfer>> m_active;
    std::vector<CURL*> m_idleHandles;
    std::atomic<uint64_t> m_bodyBytes { 0 };
    std::atomic<uint64_t> m_connectionsOpened { 0 };

    /// Lets tasks that are still in the loop find out that the engine is gone.
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
    std::thread m_thread;
};

}
