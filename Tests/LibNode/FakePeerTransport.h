#pragma once

#include <LibPlatform/PeerTransport.h>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// Records the messages sent by one node. Messages sent on a stalled connection are lost.
class FakePeerTransport final : public PeerTransport {
public:
    void setReceiver(Receiver receiver) override { m_receiver = std::move(receiver); }

    void send(const std::string& address, std::string_view bytes) override
    {
        if (!stalledConnections.contains(address))
            sent.emplace_back(address, std::string(bytes));
    }

    void disconnect(const std::string& address) override
    {
        ++disconnects;
        stalledConnections.erase(address);
    }

    void deliver(const std::string& bytes) { m_receiver(bytes); }

    std::vector<std::pair<std::string, std::string>> sent;
    std::set<std::string> stalledConnections;
    int disconnects { 0 };

private:
    Receiver m_receiver;
};

}
