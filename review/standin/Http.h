#pragma once

// A small HTTP/1.1 server and client over blocking sockets, with one thread for each connection. The server lets its
// handler break the connection in place of an answer.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review {

struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response {
    enum class Delivery { Send, Reset, Never };

    int status { 200 };
    std::string body { "{}" };
    Delivery delivery { Delivery::Send };
};

class HttpServer {
public:
    using Handler = std::function<Response(const Request&)>;

    HttpServer(std::string ip, uint16_t port, Handler handler);
    ~HttpServer();

    /// Begins to listen. While the server does not listen, new connections are refused.
    bool open();

    /// Stops listening and resets all connections.
    void close();

private:
    void acceptLoop(int listener);
    void serve(int descriptor);

    std::string m_ip;
    uint16_t m_port;
    Handler m_handler;
    std::mutex m_mutex;
    int m_listener { -1 };
    std::set<int> m_connections;
    std::thread m_acceptor;
    std::shared_ptr<std::atomic<int>> m_threads { std::make_shared<std::atomic<int>>(0) };
};

struct Answer {
    /// 0 if no whole answer arrived in time.
    int status { 0 };
    std::string body;
};

/// Sends one request on a new connection.
Answer call(const std::string& ip, uint16_t port, const std::string& method, const std::string& path,
    const std::string& host, const std::string& body, int timeoutMs);

int64_t steadyMs();
int64_t unixMs();
void sleepMs(int64_t ms);

}
