#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace Bergamot {

/// A loopback connection that sends arbitrary bytes, for requests that HTTP clients do not send.
class RawConnection {
public:
    explicit RawConnection(uint16_t port)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address { .sin_family = AF_INET, .sin_port = htons(port), .sin_addr = { htonl(INADDR_LOOPBACK) } };
        m_connected = connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;
    ~RawConnection() { ::close(m_socket); }

    bool isConnected() const { return m_connected; }
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            auto n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<size_t>(n));
        }
        return true;
    }
    void shutdownSending() { shutdown(m_socket, SHUT_WR); }

    /// Reads until the text contains `end`, the server closes the connection or nothing arrives for `quietMs`.
    const std::string& readUntil(std::string_view end, int quietMs)
    {
        char buffer[16384];
        size_t searchFrom = 0;
        pollfd entry { .fd = m_socket, .events = POLLIN, .revents = 0 };
        while (!m_closed && (end.empty() || m_text.find(end, searchFrom) == std::string::npos)
            && poll(&entry, 1, quietMs) == 1) {
            searchFrom = m_text.size() - std::min(m_text.size(), end.size());
            auto n = recv(m_socket, buffer, sizeof(buffer), 0);
            if (n > 0)
                m_text.append(buffer, static_cast<size_t>(n));
            else
                m_closed = true;
        }
        return m_text;
    }
    const std::string& readToClose(int quietMs) { return readUntil({}, quietMs); }

    /// Returns true once a read has seen that the server closed the connection.
    bool isClosed() const { return m_closed; }

    size_t responseCount() const
    {
        constexpr std::string_view statusLine = "HTTP/1.1 ";
        size_t count = 0;
        for (auto at = m_text.find(statusLine); at != std::string::npos; at = m_text.find(statusLine, at + 1))
            ++count;
        return count;
    }

private:
    int m_socket { -1 };
    bool m_connected { false };
    bool m_closed { false };
    std::string m_text {};
};

}
