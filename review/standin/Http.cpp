#include "Http.h"
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

static sockaddr_in addressOf(const std::string& ip, uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

static void setResetOnClose(int descriptor)
{
    linger option { .l_onoff = 1, .l_linger = 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

HttpServer::HttpServer(std::string ip, uint16_t port, Handler handler)
    : m_ip(std::move(ip))
    , m_port(port)
    , m_handler(std::move(handler))
{
}

HttpServer::~HttpServer() { close(); }

bool HttpServer::open()
{
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = addressOf(m_ip, m_port);
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(listener, 512) != 0) {
        ::close(listener);
        return false;
    }
    std::scoped_lock lock(m_mutex);
    m_listener = listener;
    m_acceptor = std::thread([this, listener] { acceptLoop(listener); });
    return true;
}

void HttpServer::close()
{
    std::thread acceptor;
    {
        std::scoped_lock lock(m_mutex);
        if (m_listener >= 0) {
            shutdown(m_listener, SHUT_RDWR);
            ::close(m_listener);
        }
        m_listener = -1;
        acceptor = std::move(m_acceptor);
        for (int descriptor : m_connections) {
            setResetOnClose(descriptor);
            // Wakes up the thread of the connection, which closes it. Nothing is sent before the reset.
            shutdown(descriptor, SHUT_RD);
        }
    }
    if (acceptor.joinable())
        acceptor.join();
    while (*m_threads > 0)
        sleepMs(1);
}

void HttpServer::acceptLoop(int listener)
{
    while (true) {
        int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (errno == EINTR || errno == ECONNABORTED)
                continue;
            return;
        }
        int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::scoped_lock lock(m_mutex);
        if (m_listener != listener) {
            setResetOnClose(descriptor);
            ::close(descriptor);
            return;
        }
        m_connections.insert(descriptor);
        ++*m_threads;
        std::thread([this, descriptor, threads = m_threads] {
            serve(descriptor);
            --*threads;
        }).detach();
    }
}

static std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

static std::string unescape(const std::string& text)
{
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

/// Takes one whole message from the buffer, or returns false.
static bool takeMessage(
    std::string& buffer, std::string& firstLine, std::map<std::string, std::string>& headers, std::string& body)
{
    auto end = buffer.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    headers.clear();
    auto lineEnd = buffer.find("\r\n");
    firstLine = buffer.substr(0, lineEnd);
    size_t position = lineEnd + 2;
    while (position < end + 2) {
        auto next = buffer.find("\r\n", position);
        auto line = buffer.substr(position, next - position);
        position = next + 2;
        auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        headers[lower(line.substr(0, colon))] = value;
    }
    size_t length = 0;
    if (auto it = headers.find("content-length"); it != headers.end())
        length = std::stoul(it->second);
    if (buffer.size() < end + 4 + length)
        return false;
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

static Request parseRequest(const std::string& firstLine, std::map<std::string, std::string> headers, std::string body)
{
    Request request;
    request.headers = std::move(headers);
    request.body = std::move(body);
    auto first = firstLine.find(' ');
    auto second = firstLine.find(' ', first + 1);
    request.method = firstLine.substr(0, first);
    auto target = firstLine.substr(first + 1, second - first - 1);
    auto mark = target.find('?');
    request.path = target.substr(0, mark);
    while (mark != std::string::npos) {
        auto next = target.find('&', mark + 1);
        auto pair = target.substr(mark + 1, next == std::string::npos ? next : next - mark - 1);
        auto equals = pair.find('=');
        request.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : unescape(pair.substr(equals + 1));
        mark = next;
    }
    return request;
}

static bool sendAll(int descriptor, const std::string& text)
{
    size_t sent = 0;
    while (sent < text.size()) {
        auto n = send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<size_t>(n);
    }
    return true;
}

void HttpServer::serve(int descriptor)
{
    std::string buffer;
    std::string firstLine;
    std::string body;
    std::map<std::string, std::string> headers;
    char chunk[65536];
    bool isOpen = true;
    while (isOpen) {
        if (!takeMessage(buffer, firstLine, headers, body)) {
            auto n = recv(descriptor, chunk, sizeof(chunk), 0);
            if (n <= 0)
                break;
            buffer.append(chunk, static_cast<size_t>(n));
            continue;
        }
        auto response = m_handler(parseRequest(firstLine, headers, body));
        if (response.delivery == Response::Delivery::Reset) {
            setResetOnClose(descriptor);
            break;
        }
        if (response.delivery == Response::Delivery::Never) {
            // Nothing further is answered on this connection.
            while (recv(descriptor, chunk, sizeof(chunk), 0) > 0) { }
            break;
        }
        isOpen = sendAll(descriptor,
            "HTTP/1.1 " + std::to_string(response.status) + " X\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(response.body.size()) + "\r\n\r\n" + response.body);
    }
    std::scoped_lock lock(m_mutex);
    m_connections.erase(descriptor);
    ::close(descriptor);
}

/// Waits until the descriptor is ready. Returns false at the deadline.
static bool waitFor(int descriptor, short events, int64_t deadline)
{
    auto left = deadline - steadyMs();
    pollfd entry { .fd = descriptor, .events = events, .revents = 0 };
    return left > 0 && poll(&entry, 1, static_cast<int>(left)) > 0;
}

Answer call(const std::string& ip, uint16_t port, const std::string& method, const std::string& path,
    const std::string& host, const std::string& body, int timeoutMs)
{
    auto deadline = steadyMs() + timeoutMs;
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto address = addressOf(ip, port);
    Answer answer;
    bool isOpen = connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0
        || (errno == EINPROGRESS && waitFor(descriptor, POLLOUT, deadline));
    auto text = method + " " + path + " HTTP/1.1\r\nHost: " + host
        + "\r\nX-Bergamotbay-Deadline-Ms: " + std::to_string(timeoutMs)
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    isOpen = isOpen && sendAll(descriptor, text);
    std::string buffer;
    std::string firstLine;
    std::map<std::string, std::string> headers;
    char chunk[65536];
    while (isOpen) {
        if (takeMessage(buffer, firstLine, headers, answer.body)) {
            answer.status = std::stoi(firstLine.substr(firstLine.find(' ') + 1));
            break;
        }
        if (!waitFor(descriptor, POLLIN, deadline))
            break;
        auto n = recv(descriptor, chunk, sizeof(chunk), 0);
        if (n <= 0)
            break;
        buffer.append(chunk, static_cast<size_t>(n));
    }
    ::close(descriptor);
    return answer;
}

}
