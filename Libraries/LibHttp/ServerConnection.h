#pragma once

#include <LibCore/Time.h>
#include <LibHttp/RequestParser.h>
#include <cstdint>
#include <string>

namespace Bergamot {

/// What a server knows of one connection. Only on the thread of its transport.
struct ServerConnection {
    enum class Phase : uint8_t {
        /// Nothing of the first request has arrived.
        New,
        /// All requests so far are answered.
        Idle,
        Headers,
        Body,
        /// A request is with the handler. Nothing is read meanwhile, so a caller that sends on is slowed down.
        InProgress,
        /// An answer is being written.
        Answering,
        /// The sending side is closed; what still arrives is thrown away, because a reset would overtake the answer.
        Closing
    };

    Phase phase { Phase::New };
    Instant since { neverInstant };
    /// Bytes that the parser has not taken yet.
    std::string input {};
    RequestParser parser {};

    /// The caller has closed its sending side.
    bool inputEnded { false };
    bool closeAfterAnswer { false };

    /// The Connection header of the answer.
    std::string connectionHeader {};

    bool takesInput() const { return phase != Phase::InProgress && phase != Phase::Answering; }
};

}
