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

/// Routes callers' queries to the leader, which may be this node, and returns the replies.
class QueryRouter {
public:
    using ReplyCallback = std::function<void(const JobQueryReply&)>;

    struct Options {
        /// Base of the query ids. Random for each process, so that a late reply to an earlier process at this address
        /// does not match a query of this process.
        uint64_t firstQueryId { 0 };

        /// IP:port at which this node receives replies.
        std::string peerAddress {};

        /// The peer address of the leader; nullopt if no leader is known.
        std::function<std::optional<std::string>()> leaderAddress {};

        /// Handles a query if this node is the leader.
        std::function<void(const JobQuery&, ReplyCallback)> handleLocally {};
    };

    /// `loop` and `transport` must outlive the router. The transport must deliver no message after the router is
    /// destroyed.
    QueryRouter(EventLoop&, PeerTransport&, Options);
    ~QueryRouter();

    /// Retries until `deadline`. The callback receives Unavailable if no leader has replied by then.
    void sendQuery(JobQueryKind, std::string subject, Instant deadline, ReplyCallback);

    /// Answers all pending queries with Unavailable now.
    void answerPending();

private:
    struct PendingQuery {
        JobQuery query;
        Instant deadline;
        ReplyCallback callback;
        uint32_t attempts { 0 };
    };

    void sendWithRetry(uint64_t queryId);
    void handleMessage(std::string_view bytes);
    void handleReply(const JobQueryReply&);
    void handleQuery(const JobQuery&);
    void sendTo(const std::string& address, std::string_view bytes);
    void replaceConnection(const std::string& address);
    bool isRetransmission(const JobQuery&);

    EventLoop& m_loop;
    PeerTransport& m_transport;
    Options m_options;
    uint64_t m_lastQueryId { 0 };
    std::map<uint64_t, PendingQuery> m_pendingQueries;

    /// Latest query id received from each node, by the node's address.
    std::map<std::string, uint64_t> m_latestQueryIds;
    std::map<std::string, Instant> m_connectionsOpenedAt;
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
