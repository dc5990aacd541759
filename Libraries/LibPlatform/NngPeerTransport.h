#pragma once

#include <LibPlatform/NngPushConnection.h>
#include <LibPlatform/PeerTransport.h>
#include <absl/status/statusor.h>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nng/nng.h>
#include <thread>

namespace Bergamot {

/// PeerTransport on nng push and pull sockets: one pull socket that listens, and one push socket for each connection to
/// a peer.
class NngPeerTransport final : public PeerTransport {
public:
    /// `listenAddress` is IP:port. Returns Unavailable when it is in use.
    static absl::StatusOr<std::unique_ptr<NngPeerTransport>> create(const std::string& listenAddress);
    ~NngPeerTransport() override;

    void setReceiver(Receiver) override;

    /// Opens a connection if there is none or the last one is lost. Queues messages while the connection opens. Drops
    /// the message when this short queue is full.
    void send(const std::string& address, std::string_view bytes) override;

    void disconnect(const std::string& address) override;

    uint64_t bytesSent() const { return m_bytesSent; }
    uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    NngPeerTransport() = default;
    void receiveLoop();

    /// Returns null if no connection can be opened.
    NngPushConnection* findOrOpenConnection(const std::string& address);

    nng_socket m_listener {};
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<NngPushConnection>> m_connections;
    Receiver m_receiver;
    std::thread m_thread;
    std::atomic<uint64_t> m_bytesSent { 0 };
    std::atomic<uint64_t> m_bytesReceived { 0 };
};

}
