#pragma once

#include <LibHttp/EventLoop.h>
#include <LibPlatform/PeerTransport.h>
#include <map>
#include <string>
#include <utility>

namespace Bergamot {

/// Delivers messages between the nodes of a test. Those to an address without a receiver are lost.
class PeerNetwork {
public:
    explicit PeerNetwork(EventLoop& loop)
        : m_loop(loop)
    {
    }

    void send(const std::string& address, std::string bytes)
    {
        constexpr Milliseconds deliveryTime { 2 };
        m_loop.callAfter(deliveryTime, [this, address, bytes = std::move(bytes)] {
            if (auto it = m_receivers.find(address); it != m_receivers.end())
                it->second(bytes);
        });
    }

    void setReceiver(const std::string& address, PeerTransport::Receiver receiver)
    {
        m_receivers[address] = std::move(receiver);
    }

    void removeReceiver(const std::string& address) { m_receivers.erase(address); }

private:
    EventLoop& m_loop;
    std::map<std::string, PeerTransport::Receiver> m_receivers;
};

/// The end of the network at one address.
class PeerNetworkTransport final : public PeerTransport {
public:
    PeerNetworkTransport(PeerNetwork& network, std::string address)
        : m_network(network)
        , m_address(std::move(address))
    {
    }

    void setReceiver(Receiver receiver) override { m_network.setReceiver(m_address, std::move(receiver)); }
    void send(const std::string& address, std::string_view bytes) override
    {
        m_network.send(address, std::string(bytes));
    }

private:
    PeerNetwork& m_network;
    std::string m_address;
};

}
