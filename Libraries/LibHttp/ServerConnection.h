#pragma once

#include <LibCore/Time.h>
#include <LibHttp/RequestParser.h>
#include <LibHttp/UnfinishedRequest.h>
#include <cstdint>
#include <memory>
#include <string>

namespace Bergamot {

/// State of one connection of a server. Accessed only on the thread of the connection's transport.
struct ServerConnection {
    enum class Phase : uint8_t {
        /// No byte of the first request has been received.
        New,
        /// All requests received so far have been answered.
        Idle,
        Headers,
        Body,
        /// The handler is processing a request. Nothing is read from the socket meanwhile, so TCP flow control slows
        /// down a peer that keeps sending.
        InProgress,
        /// A response is being written.
        WritingResponse,
        /// The sending side is shut down, and further input is read and discarded: closing the socket with unread input
        /// sends a reset, which can make the peer lose the response.
        Closing
    };

    Phase phase { Phase::New };
    Instant phaseStartedAt { neverInstant };
    /// Bytes that have been received but not parsed.
    std::string input {};
    RequestParser parser {};

    /// The peer has shut down its sending side.
    bool hasInputEnded { false };
    bool closeAfterResponse { false };

    /// Value of the Connection header of the response.
    std::string connectionHeader {};

    /// The request whose response is being written.
    std::shared_ptr<UnfinishedRequest> requestBeingAnswered {};

    bool canReceive() const { return phase != Phase::InProgress && phase != Phase::WritingResponse; }
};

}
