#pragma once

#include "LogPartition.h"
#include "StoreFault.h"
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

/// Stand-in of the platform's store, with faults. It speaks the calls of its published protocol that a node uses:
/// conditional and fenced appends, reads that wait, and the newest record of each key. All state belongs to the thread
/// of the loop.
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

    /// Whether the store takes no calls now, so that workers cannot announce themselves either.
    bool isDown() const;

    /// Write a record of the operator, or the announcement of a worker. An empty value drops the key.
    void putOperatorRecord(std::string_view key, std::string_view value);
    void putWorkerRecord(std::string_view key, std::string_view value);

    void stopServing() { m_server->shutdown(); }

private:
    using Responder = std::shared_ptr<HttpResponder>;

    struct ActiveFault {
        StoreFault fault;
        Instant until;
    };

    struct Waiter {
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
    void newest(const HttpRequest&, const Responder&);
    LogPartition& partition(const std::string& topic, uint64_t part);
    void put(const std::string& topic, std::string_view key, std::string_view value);
    void answerWaiters(const std::string& topic, uint64_t part);
    void finishRead(const Waiter&);

    /// Answers after the delay of a slow store.
    void send(const Responder&, HttpResponse);

    /// Leaves a call without an answer. The caller's connection stays open.
    void park(Responder);

    EventLoop& m_loop;
    std::map<std::pair<std::string, uint64_t>, LogPartition> m_partitions;
    std::vector<ActiveFault> m_faults;
    std::vector<Waiter> m_waiters;
    std::vector<Responder> m_parked;
    uint64_t m_nextWaiter { 1 };
    std::unique_ptr<HttpServer> m_server;
};

}
