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

/// Asynchronous HTTP client on libcurl multi handles. It runs on a thread of its own or on a shared event loop.
class HttpEngine {
public:
    using Callback = std::function<void(absl::StatusOr<HttpReply>)>;

    struct Options {
        /// Limit on open connections to one host and port; 0 means no limit.
        long maxConnectionsPerHost { 0 };

        /// Limit on the connections kept open between requests. libcurl also counts connections in use: above this
        /// number, it closes a connection whenever a request ends.
        long maxIdleConnections { 1024 };

        /// Number of shards, each with a libcurl multi handle. The addresses and maxIdleConnections are divided among
        /// the shards, because libcurl searches lists whose length grows with the connections of a multi handle.
        size_t shards { 1 };

        /// Options for a process that may open `maxSockets` sockets; 0 means that the limit is unknown.
        static Options forSocketLimit(int64_t maxSockets);
    };

    /// Creates an engine with a thread of its own.
    static std::unique_ptr<HttpEngine> create(Options);

    /// Creates an engine that runs on the thread of `loop`. `loop` must outlive the engine.
    static std::unique_ptr<HttpEngine> create(EventLoop& loop, Options);

    /// Ends requests in progress with Aborted or Unavailable. An engine on a shared loop must be destroyed on the
    /// thread of the loop or after the loop has ended.
    ~HttpEngine();

    /// Starts a request. May be called from any thread. The callback runs exactly once, on the engine's thread. While
    /// the event loop is late, the call may take longer than its time-out.
    void submit(HttpCall, Callback);

    /// Total bytes of the request bodies sent and the reply bodies received.
    uint64_t bodyBytes() const { return m_bodyBytes; }

    /// Total number of connections opened.
    uint64_t connectionsOpened() const { return m_connectionsOpened; }

private:
    struct Transfer;
    struct Shard;

    HttpEngine(std::unique_ptr<EventLoop> ownLoop, EventLoop& loop, Options);
    static int onSocketChange(CURL*, curl_socket_t, int action, void* self, void*);
    static int closeSocket(void* self, curl_socket_t);
    static int onTimerChange(CURLM*, long timeoutMs, void* self);
    void start(HttpCall, Callback);
    Shard& shardFor(std::string_view url);
    void handleSocketAction(Shard&, curl_socket_t, int curlEvents);
    void completeFinishedTransfers(Shard&);
    void endAfterReadyEvents(std::weak_ptr<Transfer>, uint32_t extensions);
    void complete(Transfer&, CURLcode);

    SteadyClock m_clock;
    std::unique_ptr<EventLoop> m_ownLoop;
    EventLoop& m_loop;
    Options m_options;

    /// Each shard is created with the first request to one of its addresses.
    std::vector<std::unique_ptr<Shard>> m_shards;
    std::vector<std::shared_ptr<Transfer>> m_active;
    std::vector<CURL*> m_idleHandles;
    std::atomic<uint64_t> m_bodyBytes { 0 };
    std::atomic<uint64_t> m_connectionsOpened { 0 };

    /// Set to false when the engine is destroyed. Tasks that are still queued in the loop check it first.
    std::shared_ptr<bool> m_isAlive { std::make_shared<bool>(true) };
    std::thread m_thread;
};

}
