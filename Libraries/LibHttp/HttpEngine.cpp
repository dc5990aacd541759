#include <LibHttp/CurlRequest.h>
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpEngine.h>
#include <algorithm>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace Bergamot {

/// A multi handle with the connections to some of the addresses.
struct HttpEngine::Part {
    HttpEngine& engine;
    CURLM* multi { nullptr };
    uint64_t timerGeneration { 0 };
};

struct HttpEngine::Transfer {
    Transfer(CURL* handle, HttpCall call, Callback onDone, size_t position, CURLM* driver)
        : request(handle, std::move(call))
        , callback(std::move(onDone))
        , index(position)
        , multi(driver)
    {
        curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    }

    CurlRequest request;
    Callback callback;
    size_t index;
    CURLM* multi;
};

HttpEngine::Options HttpEngine::Options::forSockets(int64_t sockets)
{
    // The others are left for the connections of callers and other hosts, and for calls that are being opened.
    constexpr int64_t keptEighths = 7;
    constexpr int64_t eighths = 8;
    constexpr int64_t connectionsPerPart = 128;
    Options options;
    if (sockets > 0)
        options.maxIdleConnections = static_cast<long>(sockets * keptEighths / eighths);
    options.parts = static_cast<size_t>(std::max<int64_t>(1, sockets * keptEighths / eighths / connectionsPerPart));
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
    , m_parts(std::max<size_t>(1, options.parts))
{
}

HttpEngine::Part& HttpEngine::partOf(std::string_view url)
{
    constexpr std::string_view schemeEnd = "://";
    if (auto scheme = url.find(schemeEnd); scheme != std::string_view::npos)
        url.remove_prefix(scheme + schemeEnd.size());
    auto address = url.substr(0, url.find_first_of("/?"));
    auto& part = m_parts[std::hash<std::string_view> {}(address) % m_parts.size()];
    if (part)
        return *part;
    part.reset(new Part { .engine = *this, .multi = curl_multi_init() });
    auto kept = std::max(1L, m_options.maxIdleConnections / static_cast<long>(m_parts.size()));
    curl_multi_setopt(part->multi, CURLMOPT_MAX_HOST_CONNECTIONS, m_options.maxConnectionsPerHost);
    curl_multi_setopt(part->multi, CURLMOPT_MAXCONNECTS, kept);
    curl_multi_setopt(part->multi, CURLMOPT_SOCKETFUNCTION, &HttpEngine::onSocketChange);
    curl_multi_setopt(part->multi, CURLMOPT_SOCKETDATA, part.get());
    curl_multi_setopt(part->multi, CURLMOPT_TIMERFUNCTION, &HttpEngine::onTimerChange);
    curl_multi_setopt(part->multi, CURLMOPT_TIMERDATA, part.get());
    return *part;
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
    for (auto& part : m_parts) {
        if (part)
            curl_multi_cleanup(part->multi);
    }
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
    auto* multi = partOf(call.url).multi;
    m_active.push_back(
        std::make_unique<Transfer>(handle, std::move(call), std::move(callback), m_active.size(), multi));
    curl_multi_add_handle(multi, handle);
}

int HttpEngine::onSocketChange(CURL*, curl_socket_t socket, int what, void* self, void*)
{
    auto& part = *static_cast<Part*>(self);
    auto& engine = part.engine;
    if (what == CURL_POLL_REMOVE) {
        // The connection is kept for the next call; closeSocket() ends the registration.
        engine.m_loop.pauseWatch(socket);
        return 0;
    }
    uint32_t events = (what & CURL_POLL_IN ? EPOLLIN : 0U) | (what & CURL_POLL_OUT ? EPOLLOUT : 0U);
    engine.m_loop.watch(socket, events, [&part, socket](uint32_t seen) {
        int curlEvents = (seen & EPOLLIN ? CURL_CSELECT_IN : 0) | (seen & EPOLLOUT ? CURL_CSELECT_OUT : 0)
            | (seen & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);
        part.engine.drive(part, socket, curlEvents);
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
    auto& part = *static_cast<Part*>(self);
    auto generation = ++part.timerGeneration;
    if (timeoutMs < 0)
        return 0;
    part.engine.m_loop.callAfter(Milliseconds { timeoutMs }, [&part, generation, alive = part.engine.m_alive] {
        if (*alive && part.timerGeneration == generation)
            part.engine.drive(part, CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
}

void HttpEngine::drive(Part& part, curl_socket_t socket, int curlEvents)
{
    int running = 0;
    curl_multi_socket_action(part.multi, socket, curlEvents, &running);
    finishCompleted(part);
}

void HttpEngine::finishCompleted(Part& part)
{
    int remaining = 0;
    while (auto* message = curl_multi_info_read(part.multi, &remaining)) {
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
    callback(std::move(result));
}

}
