#pragma once

#include "LogPartition.h"
#include "StoreFault.h"
#include "StoreTraffic.h"
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <LibHttp/HttpServer.h>
#include <absl/status/statusor.h>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Bergamot {

class EventLoop;

/// Stand-in for the platform's store, with fault injection. It serves the requests of the published protocol that a
/// node sends: conditional and fenced appends, long-polling reads, and reads of the newest record of each key. All
/// state is accessed on the event loop's thread only.
class StoreStandIn {
public:
    struct Options {
        std::string address;
        uint16_t port { 0 };
    };

    static absl::StatusOr<std::unique_ptr<StoreStandIn>> create(EventLoop&, Options);
    ~StoreStandIn();

    void apply(const StoreFault&);
    void clearFaults() { m_faults.clear(); }

    /// Whether the store is unavailable or unresponsive. Workers cannot write their announcements then either.
    bool isDown() const;

    /// Write a record as the operator or as a worker announcing itself. An empty value deletes the key.
    void putOperatorRecord(std::string_view key, std::string_view value);
    void putWorkerRecord(std::string_view key, std::string_view value);

    const StoreTraffic& traffic() const { return m_traffic; }

    /// Bytes of the newest records of all topics, without the history.
    uint64_t newestBytes() const;

    void stopServing() { m_server->shutdown(); }

private:
    using Responder = std::shared_ptr<HttpResponder>;

    struct ActiveFault {
        StoreFault fault;
        Instant endsAt;
    };

    struct WaitingRead {
        uint64_t id { 0 };
        std::string topic;
        uint64_t part { 0 };
        uint64_t from { 0 };
        Responder responder;
    };

    explicit StoreStandIn(EventLoop&);
    const ActiveFault* findFault(StoreFault::Kind) const;
    void handle(const HttpRequest&, Responder);
    void serve(const HttpRequest&, Responder);
    void append(const HttpRequest&, const Responder&);
    void read(const HttpRequest&, const Responder&);
    void readNewest(const HttpRequest&, const Responder&);
    LogPartition& partition(const std::string& topic, uint64_t part);
    void put(const std::string& topic, std::string_view key, std::string_view value);
    void completeWaitingReads(const std::string& topic, uint64_t part);
    void replyToRead(const WaitingRead&);

    /// Replies, delayed by the second half of the delay of a Slow fault.
    void send(const Responder&, HttpResponse);

    /// Never replies to the request, and keeps the caller's connection open.
    void leaveUnanswered(Responder);

    EventLoop& m_loop;
    std::map<std::pair<std::string, uint64_t>, LogPartition> m_partitions;
    std::vector<ActiveFault> m_faults;
    std::vector<WaitingRead> m_waitingReads;
    std::vector<Responder> m_unanswered;
    uint64_t m_nextReadId { 1 };
    StoreTraffic m_traffic;
    std::unique_ptr<HttpServer> m_server;
};

}
