#pragma once

#include <LibCore/Service.h>
#include <functional>
#include <string>
#include <string_view>

namespace Bergamot {

/// Sends one-way messages between hosts. Messages may be lost, duplicated or delayed.
class PeerTransport : public Service {
public:
    using Receiver = std::function<void(std::string_view)>;

    /// Must be called before the first message arrives. The receiver runs on a thread of the implementation.
    virtual void setReceiver(Receiver) = 0;
    virtual void send(const std::string& address, std::string_view bytes) = 0;

    /// Closes the connection to a peer, so that the next message opens a new one. A connection can fail without a
    /// reset; messages sent over it are then lost without an error.
    virtual void disconnect(const std::string&) { }
};

}
