#pragma once

#include <LibPlatform/PeerTransport.h>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Bergamot {

/// Keeps the messages of one node. A connection can be made silent: it takes messages and loses them.
class FakePeerTransport final : public PeerTransport {
public:
    void setReceiver(Receiver receiver) override { m_receiver = std::move(receiver); }

    void send(const std::string& address, std::string_view bytes) override
    {
        if (!silentConnections.contains(address))
            sent.emplace_back(address, std::string(bytes));
    }

    void disconnect(const std::string& address) override
    {
        ++disconnects;
        silentConnections.erase(address);
    }

    void deliver(const std::string& bytes) { m_receiver(bytes); }

    std::vector<std::pair<std::string, std::string>> sent;
    std::set<std::string> silentConnections;
    int disconnects { 0 };

private:
    Receiver m_receiver;
};

}
