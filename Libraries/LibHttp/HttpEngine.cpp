#include <LibCore/GuardedCall.h>
#include <LibHttp/CurlRequest.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpEngine.h>
#include <algorithm>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace Bergamot {

/// Number of times that a call outlives its time-out because the loop was late: once until its request is sent, and
/// once until its reply is read.
static constexpr uint32_t maxDeadlineExtensions = 2;

/// Ordinary delays of the loop, which do not extend a call.
static constexpr Milliseconds minLoopDelay { 20 };

/// A libcurl multi handle with the connections to the addresses of this shard.
struct HttpEngine::Shard {
    HttpEngine& engine;
    CURLM* multi { nullptr };
    uint64_t timerGeneration { 0 };
};

struct HttpEngine::Transfer {
    Transfer(CURL* handle, HttpCall call, Callback onDone, size_t position, CURLM* multiHandle)
        : request(handle, std::move(call))
        , callback(std::move(onDone))
        , index(position)
        , multi(multiHandle)
    {
        curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
        // libcurl would count the time-out while the loop is busy; see endAfterReadyEvents().
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, 0L);
    }

    CurlRequest request;
    Callback callback;
    size_t index;
    CURLM* multi;
};

HttpEngine::Options HttpEngine::Options::forSocketLimit(int64_t maxSockets)
{
    // One eighth of the sockets is left for incoming connections, connections to other hosts and connections that are
    // being opened.
    constexpr int64_t idleEighths = 7;
    constexpr int64_t eighths = 8;
    constexpr int64_t connectionsPerShard = 128;
    Options options;
    if (maxSockets > 0)
        options.maxIdleConnections = static_cast<long>(maxSockets * idleEighths / eighths);
    options.shards
        = static_cast<size_t>(std::max<int64_t>(1, maxSockets * idleEighths / eighths / connectionsPerShard));
    return options;
}

std::unique_ptr<HttpEngine> HttpEngine::create(Options options)
{
    static const SteadyClock clock;
    auto loop = EventLoop::create(clock);
    auto& reference = *loop;
    std::unique_ptr<HttpEngine> engine(new HttpEngine(std::move(loop), reference, options));
    engine->m_thread = std::thread([&reference] { reference.run(); });
    return engine;
}

std::unique_ptr<HttpEngine> HttpEngine::create(EventLoop& loop, Options options)
{
    return std::unique_ptr<HttpEngine>(new HttpEngine(nullptr, loop, options));
}

HttpEngine::HttpEngine(std::unique_ptr<EventLoop> ownLoop, EventLoop& loop, Options options)
    : m_ownLoop(std::move(ownLoop))
    , m_loop(loop)
    , m_options(options)
    , m_shards(std::max<size_t>(1, options.shards))
{
}

HttpEngine::Shard& HttpEngine::shardFor(std::string_view url)
{
    constexpr std::string_view schemeEnd = "://";
    if (auto scheme = url.find(schemeEnd); scheme != std::string_view::npos)
        url.remove_prefix(scheme + schemeEnd.size());
    auto address = url.substr(0, url.find_first_of("/?"));
    auto& shard = m_shards[std::hash<std::string_view> {}(address) % m_shards.size()];
    if (shard)
        return *shard;
    shard.reset(new Shard { .engine = *this, .multi = curl_multi_init() });
    auto maxConnections = std::max(1L, m_options.maxIdleConnections / static_cast<long>(m_shards.size()));
    curl_multi_setopt(shard->multi, CURLMOPT_MAX_HOST_CONNECTIONS, m_options.maxConnectionsPerHost);
    curl_multi_setopt(shard->multi, CURLMOPT_MAXCONNECTS, maxConnections);
    curl_multi_setopt(shard->multi, CURLMOPT_SOCKETFUNCTION, &HttpEngine::onSocketChange);
    curl_multi_setopt(shard->multi, CURLMOPT_SOCKETDATA, shard.get());
    curl_multi_setopt(shard->multi, CURLMOPT_TIMERFUNCTION, &HttpEngine::onTimerChange);
    curl_multi_setopt(shard->multi, CURLMOPT_TIMERDATA, shard.get());
    return *shard;
}

HttpEngine::~HttpEngine()
{
    if (m_thread.joinable()) {
        m_loop.stop();
        m_thread.join();
    }
    *m_isAlive = false;
    while (!m_active.empty())
        complete(*m_active.back(), CURLE_ABORTED_BY_CALLBACK);
    for (auto* handle : m_idleHandles)
        curl_easy_cleanup(handle);
    for (auto& shard : m_shards) {
        if (shard)
            curl_multi_cleanup(shard->multi);
    }
}

void HttpEngine::submit(HttpCall call, Callback callback)
{
    if (m_loop.isLoopThread()) {
        start(std::move(call), std::move(callback));
        return;
    }
    // The loop and this engine may both be destroyed before the task runs; the callback must run nevertheless.
    struct QueuedCall {
        HttpCall call;
        Callback callback;
        ~QueuedCall()
        {
            if (callback)
                callback(absl::AbortedError("the HTTP engine is stopping"));
        }
    };
    std::shared_ptr<QueuedCall> queued(new QueuedCall { std::move(call), std::move(callback) });
    m_loop.post([this, isAlive = m_isAlive, queued] {
        if (*isAlive)
            start(std::move(queued->call), std::exchange(queued->callback, nullptr));
    });
}

void HttpEngine::start(HttpCall call, Callback callback)
{
    CURL* handle = nullptr;
    if (m_idleHandles.empty()) {
        handle = curl_easy_init();
    } else {
        handle = m_idleHandles.back();
        m_idleHandles.pop_back();
    }
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &HttpEngine::closeSocket);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, this);
    m_bodyBytes += call.body.size();
    auto* multi = shardFor(call.url).multi;
    auto timeout = call.timeout;
    auto transfer = std::make_shared<Transfer>(handle, std::move(call), std::move(callback), m_active.size(), multi);
    m_active.push_back(transfer);
    curl_multi_add_handle(multi, handle);
    if (timeout <= Milliseconds { 0 })
        return;
    m_loop.callAfter(timeout, [this, timedOut = std::weak_ptr(transfer)] {
        if (!timedOut.expired())
            endAfterReadyEvents(timedOut, maxDeadlineExtensions);
    });
}

/// Ends a call that has timed out. If the loop is behind, its connection may be open without the request having been
/// sent, or the reply may wait to be read. A posted task runs after the events that are ready now, so the call is ended
/// by one. `m_active` owns the transfers in progress; one that has expired has completed.
void HttpEngine::endAfterReadyEvents(std::weak_ptr<Transfer> transfer, uint32_t extensions)
{
    m_loop.post([this, transfer = std::move(transfer), extensions, postedAt = m_loop.now()] {
        auto active = transfer.lock();
        if (!active)
            return;
        if (extensions > 0 && m_loop.now() - postedAt >= minLoopDelay)
            return endAfterReadyEvents(active, extensions - 1);
        complete(*active, CURLE_OPERATION_TIMEDOUT);
    });
}

int HttpEngine::onSocketChange(CURL*, curl_socket_t socket, int action, void* self, void*)
{
    auto& shard = *static_cast<Shard*>(self);
    auto& engine = shard.engine;
    if (action == CURL_POLL_REMOVE) {
        // libcurl keeps the connection open for later requests; closeSocket() ends the registration.
        engine.m_loop.pauseWatch(socket);
        return 0;
    }
    uint32_t events = (action & CURL_POLL_IN ? EPOLLIN : 0U) | (action & CURL_POLL_OUT ? EPOLLOUT : 0U);
    engine.m_loop.watch(socket, events, [&shard, socket](uint32_t epollEvents) {
        int curlEvents = (epollEvents & EPOLLIN ? CURL_CSELECT_IN : 0) | (epollEvents & EPOLLOUT ? CURL_CSELECT_OUT : 0)
            | (epollEvents & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);
        shard.engine.handleSocketAction(shard, socket, curlEvents);
    });
    return 0;
}

int HttpEngine::closeSocket(void* self, curl_socket_t socket)
{
    static_cast<HttpEngine*>(self)->m_loop.unwatch(socket);
    return close(socket);
}

int HttpEngine::onTimerChange(CURLM*, long timeoutMs, void* self)
{
    auto& shard = *static_cast<Shard*>(self);
    auto generation = ++shard.timerGeneration;
    if (timeoutMs < 0)
        return 0;
    shard.engine.m_loop.callAfter(Milliseconds { timeoutMs }, [&shard, generation, isAlive = shard.engine.m_isAlive] {
        if (*isAlive && shard.timerGeneration == generation)
            shard.engine.handleSocketAction(shard, CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
}

void HttpEngine::handleSocketAction(Shard& shard, curl_socket_t socket, int curlEvents)
{
    int running = 0;
    curl_multi_socket_action(shard.multi, socket, curlEvents, &running);
    completeFinishedTransfers(shard);
}

void HttpEngine::completeFinishedTransfers(Shard& shard)
{
    int remaining = 0;
    while (auto* message = curl_multi_info_read(shard.multi, &remaining)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        Transfer* transfer = nullptr;
        auto code = message->data.result;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        complete(*transfer, code);
    }
}

void HttpEngine::complete(Transfer& transfer, CURLcode code)
{
    auto* handle = transfer.request.handle();
    long connects = 0;
    if (curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &connects) == CURLE_OK)
        m_connectionsOpened += static_cast<uint64_t>(connects);
    curl_multi_remove_handle(transfer.multi, handle);
    auto result = transfer.request.finish(code);
    auto callback = std::move(transfer.callback);
    auto index = transfer.index;
    std::swap(m_active[index], m_active.back());
    m_active[index]->index = index;
    m_active.pop_back();
    curl_easy_reset(handle);
    m_idleHandles.push_back(handle);
    if (result.ok())
        m_bodyBytes += result->body.size();
    // Further transfers may have finished, whose callbacks would otherwise be called late or not at all.
    guardedCall("reply_failed", [&] { callback(std::move(result)); });
}

}
