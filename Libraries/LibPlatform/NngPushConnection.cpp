#include <LibPlatform/NngPushConnection.h>
#include <LibPlatform/NngStatus.h>
#include <nng/protocol/pipeline0/push.h>

namespace Bergamot {

static constexpr nng_duration minRetryDelayMs = 100;
static constexpr nng_duration maxRetryDelayMs = 1000;

/// Without a queue, the first message to each peer would be dropped.
static constexpr int sendQueueLength = 64;

absl::StatusOr<std::unique_ptr<NngPushConnection>> NngPushConnection::open(const std::string& address)
{
    std::unique_ptr<NngPushConnection> connection(new NngPushConnection());
    if (int ec = nng_push0_open(&connection->m_socket); ec != 0)
        return nngStatus(ec, "cannot open a push socket for a peer");
    if (auto status = connection->dial(address); !status.ok())
        return status;
    return connection;
}

absl::Status NngPushConnection::dial(const std::string& address)
{
    nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, minRetryDelayMs);
    nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, maxRetryDelayMs);
    if (int ec = nng_socket_set_int(m_socket, NNG_OPT_SENDBUF, sendQueueLength); ec != 0)
        return nngStatus(ec, "cannot set the send queue length of a peer socket");
    for (auto event : { NNG_PIPE_EV_ADD_PRE, NNG_PIPE_EV_REM_POST }) {
        if (int ec = nng_pipe_notify(m_socket, event, &NngPushConnection::onPipeEvent, this); ec != 0)
            return nngStatus(ec, "cannot watch the pipes of a peer socket");
    }
    if (int ec = nng_dial(m_socket, ("tcp://" + address).c_str(), nullptr, NNG_FLAG_NONBLOCK); ec != 0)
        return nngStatus(ec, "cannot dial " + address);
    return absl::OkStatus();
}

NngPushConnection::~NngPushConnection() { nng_close(m_socket); }

bool NngPushConnection::send(std::string_view bytes)
{
    std::lock_guard lock(m_mutex);
    if (m_state == State::Lost)
        return false;
    std::string buf(bytes);
    return nng_send(m_socket, buf.data(), buf.size(), NNG_FLAG_NONBLOCK) == 0;
}

bool NngPushConnection::isLost() const
{
    std::lock_guard lock(m_mutex);
    return m_state == State::Lost;
}

bool NngPushConnection::acceptsPipe()
{
    std::lock_guard lock(m_mutex);
    if (m_state != State::Connecting)
        return false;
    m_state = State::Connected;
    return true;
}

void NngPushConnection::onPipeEvent(nng_pipe pipe, nng_pipe_ev event, void* self)
{
    auto& connection = *static_cast<NngPushConnection*>(self);
    if (event == NNG_PIPE_EV_ADD_PRE) {
        // A pipe that is closed before it is added never gets into the socket's list.
        if (!connection.acceptsPipe())
            nng_pipe_close(pipe);
        return;
    }
    std::lock_guard lock(connection.m_mutex);
    connection.m_state = State::Lost;
}

}
