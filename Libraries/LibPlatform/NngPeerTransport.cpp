#include <LibPlatform/NngPeerTransport.h>
#include <LibWire/Codec.h>
#include <fmt/format.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <string>
#include <utility>

namespace Bergamot {

static absl::Status nngStatus(int ec, std::string_view problem)
{
    return absl::UnavailableError(fmt::format("{}: {}", problem, nng_strerror(ec)));
}

absl::StatusOr<std::unique_ptr<NngPeerTransport>> NngPeerTransport::create(const std::string& listenAddress)
{
    std::unique_ptr<NngPeerTransport> transport(new NngPeerTransport());
    if (int ec = nng_pull0_open(&transport->m_listener); ec != 0)
        return nngStatus(ec, "cannot open the listening peer socket");
    nng_socket_set_size(transport->m_listener, NNG_OPT_RECVMAXSZ, maxEncodedBytes);
    if (int ec = nng_listen(transport->m_listener, ("tcp://" + listenAddress).c_str(), nullptr, 0); ec != 0)
        return nngStatus(ec, "cannot listen on " + listenAddress);
    return transport;
}

NngPeerTransport::~NngPeerTransport()
{
    nng_close(m_listener);
    if (m_thread.joinable())
        m_thread.join();
    for (const auto& [address, socket] : m_peers)
        nng_close(socket);
}

void NngPeerTransport::setReceiver(Receiver receiver)
{
    m_receiver = std::move(receiver);
    m_thread = std::thread([this] { receiveLoop(); });
}

void NngPeerTransport::receiveLoop()
{
    while (true) {
        char* data = nullptr;
        size_t size = 0;
        if (int ec = nng_recv(m_listener, static_cast<void*>(&data), &size, NNG_FLAG_ALLOC); ec != 0) {
            if (ec == NNG_ECLOSED)
                return;
            continue;
        }
        m_bytesReceived += size;
        m_receiver(std::string_view(data, size));
        nng_free(data, size);
    }
}

absl::StatusOr<nng_socket> NngPeerTransport::findOrOpenSocket(const std::string& address)
{
    auto it = m_peers.find(address);
    if (it != m_peers.end())
        return it->second;
    nng_socket socket {};
    if (int ec = nng_push0_open(&socket); ec != 0)
        return nngStatus(ec, "cannot open a push socket for a peer");
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, 100);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, 1000);
    // Messages are queued while the connection opens; without a queue, the first message to each peer would be dropped.
    constexpr int sendQueueLength = 64;
    if (int ec = nng_socket_set_int(socket, NNG_OPT_SENDBUF, sendQueueLength); ec != 0) {
        nng_close(socket);
        return nngStatus(ec, "cannot set the send queue length of a peer socket");
    }
    if (int ec = nng_dial(socket, ("tcp://" + address).c_str(), nullptr, NNG_FLAG_NONBLOCK); ec != 0) {
        nng_close(socket);
        return nngStatus(ec, "cannot dial " + address);
    }
    m_peers.emplace(address, socket);
    return socket;
}

void NngPeerTransport::disconnect(const std::string& address)
{
    std::lock_guard lock(m_mutex);
    auto it = m_peers.find(address);
    if (it == m_peers.end())
        return;
    nng_close(it->second);
    m_peers.erase(it);
}

void NngPeerTransport::send(const std::string& address, std::string_view bytes)
{
    std::lock_guard lock(m_mutex);
    auto socket = findOrOpenSocket(address);
    if (!socket.ok())
        return;
    std::string buf(bytes);
    if (nng_send(*socket, buf.data(), buf.size(), NNG_FLAG_NONBLOCK) == 0)
        m_bytesSent += buf.size();
}

}
