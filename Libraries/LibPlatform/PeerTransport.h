#pragma once

#include <LibCore/Service.h>
#include <functional>
#include <string>
#include <string_view>

namespace Bergamot {

/// One-way messages between entry hosts. Messages may be lost, repeated or late.
class PeerTransport : public Service {
public:
    using Receiver = std::function<void(std::string_view)>;

    /// Must be called before the first message arrives; runs on a thread of the implementation.
    virtual void setReceiver(Receiver) = 0;
    virtual void send(const std::string& address, std::string_view bytes) = 0;

    /// Drops the connection to a peer, so that the next message opens a new one. A connection can go silent without a
    /// reset, and then takes messages that never arrive.
    virtual void disconnect(const std::string&) { }
};

}
