#pragma once

#include <LibCore/Time.h>
#include <LibWire/JobQuery.h>
#include <LibWire/JobQueryReply.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Bergamot {

class EventLoop;
class PeerTransport;

/// Brings callers' questions to the leader, wherever it is, and the answers back.
class QueryRouter {
public:
    using Reply = std::function<void(const JobQueryReply&)>;

    struct Options {
        /// Questions are numbered from here. Drawn anew by each process, so that no answer to a question of an earlier
        /// process at this address is taken for the answer to another one.
        uint64_t firstQueryId { 0 };

        /// Where answers reach this node.
        std::string peerAddress {};

        /// The leader's address; nothing while there is none.
        std::function<std::optional<std::string>()> leaderAddress {};

        /// Answers a question when this node is the leader.
        std::function<void(const JobQuery&, Reply)> answerHere {};
    };

    /// `loop` and `transport` must outlive the router, and no message may arrive after it has ended.
    QueryRouter(EventLoop&, PeerTransport&, Options);
    ~QueryRouter();

    /// Answers Unavailable when no leader has answered by the deadline.
    void ask(JobQueryKind, std::string subject, Instant deadline, Reply);

private:
    struct Open {
        JobQuery query;
        Instant deadline;
        Reply reply;
        uint32_t sends { 0 };
    };

    void send(uint64_t queryId);
    void received(std::string_view bytes);
    void answerReceived(const JobQueryReply&);
    void queryReceived(const JobQuery&);
    void sendTo(const std::string& address, std::string_view bytes);
    void replaceConnection(const std::string& address);
    bool isRepeated(const JobQuery&);

    EventLoop& m_loop;
    PeerTransport& m_transport;
    Options m_options;
    uint64_t m_lastQueryId { 0 };
    std::map<uint64_t, Open> m_open;

    /// The latest question of each node, by its address.
    std::map<std::string, uint64_t> m_latestQuestions;
    std::map<std::string, Instant> m_connectionsOpenedAt;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
