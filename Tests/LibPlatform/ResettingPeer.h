#pragma once

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <random>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Bergamot {

/// Accepts connections of nng push sockets and resets each one after a random time, as the kernel does for a process
/// that is killed.
class ResettingPeer {
public:
    explicit ResettingPeer(uint32_t seed)
        : m_random(seed)
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        constexpr int backlog = 8;
        sockaddr_in address { .sin_family = AF_INET, .sin_addr = { htonl(INADDR_LOOPBACK) } };
        socklen_t size = sizeof(address);
        bind(m_listener, reinterpret_cast<sockaddr*>(&address), size);
        listen(m_listener, backlog);
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
        m_address = fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
        m_thread = std::thread([this] { run(); });
    }
    ResettingPeer(const ResettingPeer&) = delete;
    ResettingPeer& operator=(const ResettingPeer&) = delete;
    ~ResettingPeer()
    {
        m_isStopping = true;
        m_thread.join();
        close(m_listener);
    }

    const std::string& address() const { return m_address; }
    uint32_t resets() const { return m_resets; }

private:
    void run()
    {
        constexpr int pollMs = 10;
        pollfd entry { .fd = m_listener, .events = POLLIN, .revents = 0 };
        while (!m_isStopping) {
            if (poll(&entry, 1, pollMs) == 1)
                resetConnection(accept(m_listener, nullptr, nullptr));
        }
    }

    void resetConnection(int connection)
    {
        constexpr uint32_t maxMicroseconds = 500;
        // The header that a pull socket sends first: protocol 0x51.
        constexpr std::array<char, 8> header { 0, 'S', 'P', 0, 0, 0x51, 0, 0 };
        ::send(connection, header.data(), header.size(), MSG_NOSIGNAL);
        std::this_thread::sleep_for(std::chrono::microseconds(m_random() % maxMicroseconds));
        linger reset { .l_onoff = 1, .l_linger = 0 };
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        close(connection);
        ++m_resets;
    }

    std::mt19937 m_random;
    int m_listener { -1 };
    std::string m_address;
    std::atomic<bool> m_isStopping { false };
    std::atomic<uint32_t> m_resets { 0 };
    std::thread m_thread;
};

}
