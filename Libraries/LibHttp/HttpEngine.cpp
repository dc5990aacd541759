#include <LibHttp/CurlRequest.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpEngine.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace Bergamot {

struct HttpEngine::Transfer {
    Transfer(CURL* handle, HttpCall call, Callback onDone, size_t position)
        : request(handle, std::move(call))
        , callback(std::move(onDone))
        , index(position)
    {
        curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    }

    CurlRequest request;
    Callback callback;
    size_t index;
};

HttpEngine::Options HttpEngine::Options::forSockets(int64_t sockets)
{
    // The others are left for the connections of callers and other hosts, and for calls that are being opened.
    constexpr int64_t keptEighths = 7;
    constexpr int64_t eighths = 8;
    Options options;
    if (sockets > 0)
        options.maxIdleConnections = static_cast<long>(sockets * keptEighths / eighths);
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
    , m_multi(curl_multi_init())
{
    curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, options.maxConnectionsPerHost);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, options.maxIdleConnections);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &HttpEngine::onSocketChange);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &HttpEngine::onTimerChange);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

HttpEngine::~HttpEngine()
{
    if (m_thread.joinable()) {
        m_loop.stop();
        m_thread.join();
    }
    *m_alive = false;
    while (!m_active.empty())
        complete(*m_active.back(), CURLE_ABORTED_BY_CALLBACK);
    for (auto* handle : m_idleHandles)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(m_multi);
}

void HttpEngine::submit(HttpCall call, Callback callback)
{
    if (m_loop.isLoopThread()) {
        start(std::move(call), std::move(callback));
        return;
    }
    // Both the loop and this object may end before the task runs; the callback must run all the same.
    struct Queued {
        HttpCall call;
        Callback callback;
        ~Queued()
        {
            if (callback)
                callback(absl::AbortedError("the HTTP engine is stopping"));
        }
    };
    std::shared_ptr<Queued> queued(new Queued { std::move(call), std::move(callback) });
    m_loop.post([this, alive = m_alive, queued] {
        if (*alive)
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
    m_active.push_back(std::make_unique<Transfer>(handle, std::move(call), std::move(callback), m_active.size()));
    curl_multi_add_handle(m_multi, handle);
}

int HttpEngine::onSocketChange(CURL*, curl_socket_t socket, int what, void* self, void*)
{
    auto& engine = *static_cast<HttpEngine*>(self);
    if (what == CURL_POLL_REMOVE) {
        // The connection is kept for the next call; closeSocket() ends the registration.
        engine.m_loop.pauseWatch(socket);
        return 0;
    }
    uint32_t events = (what & CURL_POLL_IN ? EPOLLIN : 0U) | (what & CURL_POLL_OUT ? EPOLLOUT : 0U);
    engine.m_loop.watch(socket, events, [&engine, socket](uint32_t seen) {
        int curlEvents = (seen & EPOLLIN ? CURL_CSELECT_IN : 0) | (seen & EPOLLOUT ? CURL_CSELECT_OUT : 0)
            | (seen & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);
        engine.drive(socket, curlEvents);
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
    auto& engine = *static_cast<HttpEngine*>(self);
    auto generation = ++engine.m_timerGeneration;
    if (timeoutMs < 0)
        return 0;
    engine.m_loop.callAfter(Milliseconds { timeoutMs }, [&engine, generation, alive = engine.m_alive] {
        if (*alive && engine.m_timerGeneration == generation)
            engine.drive(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
}

void HttpEngine::drive(curl_socket_t socket, int curlEvents)
{
    int running = 0;
    curl_multi_socket_action(m_multi, socket, curlEvents, &running);
    finishCompleted();
}

void HttpEngine::finishCompleted()
{
    int remaining = 0;
    while (auto* message = curl_multi_info_read(m_multi, &remaining)) {
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
    curl_multi_remove_handle(m_multi, handle);
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
    callback(std::move(result));
}

}
