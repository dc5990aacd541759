#include "ResettingPeer.h"
#include <CppUTest/TestHarness.h>
#include <LibPlatform/NngPeerTransport.h>
#include <atomic>
#include <chrono>
#include <limits>
#include <malloc.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace Bergamot;

static constexpr std::chrono::microseconds sendInterval { 1 };

TEST_GROUP(NngPeerTransport)
{
    std::unique_ptr<NngPeerTransport> transport = open("127.0.0.1:0");

    static std::unique_ptr<NngPeerTransport> open(const std::string& address)
    {
        auto created = NngPeerTransport::create(address);
        CHECK(created.ok());
        return std::move(*created);
    }

    /// Sends to peers that reset their connections, and closes each connection after `sendsPerConnection` sends. Freed
    /// memory is overwritten, so that its use ends the process.
    void sendToResettingPeers(size_t sendsPerConnection)
    {
        constexpr uint32_t peerCount = 128;
        constexpr std::chrono::seconds duration { 3 };
        constexpr int freedByte = 0xa5;
        std::vector<std::unique_ptr<ResettingPeer>> peers;
        for (uint32_t seed = 1; seed <= peerCount; ++seed)
            peers.push_back(std::make_unique<ResettingPeer>(seed));
        mallopt(M_PERTURB, freedByte);
        auto end = std::chrono::steady_clock::now() + duration;
        for (size_t n = 0; std::chrono::steady_clock::now() < end; ++n) {
            const auto& address = peers[n % peerCount]->address();
            if (n / peerCount % sendsPerConnection == sendsPerConnection - 1)
                transport->disconnect(address);
            transport->send(address, std::string(300, 'x'));
            std::this_thread::sleep_for(sendInterval);
        }
        mallopt(M_PERTURB, 0);
        for (const auto& peer : peers)
            CHECK(peer->resets() > 1);
    }

    /// Sends until the receiver has got a message that was sent after the call.
    bool arrives(const std::string& address, const std::atomic<int>& received)
    {
        constexpr int maxSends = 50;
        constexpr std::chrono::milliseconds retryInterval { 100 };
        int before = received;
        for (int i = 0; i < maxSends && received == before; ++i) {
            transport->send(address, "message");
            std::this_thread::sleep_for(retryInterval);
        }
        return received > before;
    }
};

// Guards against a node that ends with SIGSEGV when another node is killed while a message to it is being sent.
TEST(NngPeerTransport, SendingToPeersThatResetTheirConnectionsUsesNoFreedMemory)
{
    sendToResettingPeers(std::numeric_limits<size_t>::max());
}

// Guards against a SIGSEGV or a deadlock when a connection is replaced while its peer resets it.
TEST(NngPeerTransport, ReplacingConnectionsThatPeersResetUsesNoFreedMemory) { sendToResettingPeers(3); }

// Guards against a connection that stays lost after its peer has restarted.
TEST(NngPeerTransport, MessagesReachAPeerThatRestartedAtTheSameAddress)
{
    // The port of a peer that has ended.
    const auto address = ResettingPeer(1).address();
    std::atomic<int> received { 0 };
    for (int restarts = 0; restarts < 3; ++restarts) {
        auto peer = open(address);
        peer->setReceiver([&](std::string_view) { ++received; });
        CHECK(arrives(address, received));
    }
}
