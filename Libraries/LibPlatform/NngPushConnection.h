#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <memory>
#include <mutex>
#include <nng/nng.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// One connection to a peer, on an nng push socket of its own. In nng 1.5.2, a send that completes while its pipe is
/// being closed leaves the pipe in the list from which the socket chooses the next one, also after the pipe is freed.
/// So the socket is neither used after its pipe is removed nor gets a second pipe.
class NngPushConnection {
public:
    /// `address` is IP:port. Connects in the background and retries until the first success. Returns Unavailable when
    /// no socket can be opened.
    static absl::StatusOr<std::unique_ptr<NngPushConnection>> open(const std::string& address);

    /// Waits for the callbacks of nng.
    ~NngPushConnection();
    NngPushConnection(const NngPushConnection&) = delete;
    NngPushConnection& operator=(const NngPushConnection&) = delete;

    /// Queues messages while the connection opens. Returns false if the message is dropped, because this short queue is
    /// full or the connection is lost.
    bool send(std::string_view);

    /// The connection was established and has ended. It is not opened again.
    bool isLost() const;

private:
    enum class State : uint8_t { Connecting, Connected, Lost };

    NngPushConnection() = default;
    absl::Status dial(const std::string& address);
    static void onPipeEvent(nng_pipe, nng_pipe_ev, void* self);
    bool acceptsPipe();

    nng_socket m_socket {};

    /// Held while nng_send() runs and acquired by the callback that precedes the release of a pipe. Must not be held
    /// during nng_close(), which waits for the callbacks.
    mutable std::mutex m_mutex;
    State m_state { State::Connecting };
};

}
