#include <LibPlatform/NngPeerTransport.h>
#include <LibPlatform/NngStatus.h>
#include <LibWire/Codec.h>
#include <nng/protocol/pipeline0/pull.h>
#include <string>
#include <utility>

namespace Bergamot {

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

NngPushConnection* NngPeerTransport::findOrOpenConnection(const std::string& address)
{
    if (auto it = m_connections.find(address); it != m_connections.end())
        return it->second.get();
    auto connection = NngPushConnection::open(address);
    if (!connection.ok())
        return nullptr;
    return m_connections.emplace(address, std::move(*connection)).first->second.get();
}

void NngPeerTransport::disconnect(const std::string& address)
{
    std::lock_guard lock(m_mutex);
    m_connections.erase(address);
}

void NngPeerTransport::send(const std::string& address, std::string_view bytes)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_connections, [](const auto& it) { return it.second->isLost(); });
    auto* connection = findOrOpenConnection(address);
    if (connection && connection->send(bytes))
        m_bytesSent += bytes.size();
}

}
