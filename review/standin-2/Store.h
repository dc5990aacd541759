#pragma once

#include "Record.h"
#include <LibHttp/EventLoop.h>
#include <LibHttp/HttpServer.h>
#include <PlatformStandIn/LogPartition.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Review {

/// The platform's store: a log with keyed topics, as PROTOCOL.md tells it. It refuses a record above `recordBytes` and
/// a call above `callBytes` with 400 and stores nothing of it.
class Store {
public:
    static constexpr size_t recordBytes = 262144;
    static constexpr size_t callBytes = 2097152;

    Store(Bergamot::EventLoop&, Record&, const std::string& ip, uint16_t port);

    void putOperatorRecord(const std::string& key, const std::string& value);
    void putWorkerRecord(const std::string& key, const std::string& value);

    bool isListening() const { return m_server != nullptr; }
    void stop() { m_server->shutdown(); }

    /// Size of the largest record that was refused; 0 if none was.
    size_t largestRefusedRecord() const { return m_largestRefused; }
    size_t refusedAppends() const { return m_refusedAppends; }

private:
    using Responder = std::shared_ptr<Bergamot::HttpResponder>;
    struct WaitingRead {
        std::string topic;
        uint64_t part;
        uint64_t from;
        Responder responder;
        bool isDone { false };
    };

    void handle(const Bergamot::HttpRequest&, const Responder&);
    void append(const Bergamot::HttpRequest&, const Responder&);
    void read(const Bergamot::HttpRequest&, const Responder&);
    void newest(const Bergamot::HttpRequest&, const Responder&);
    void wakeReads(const std::string& topic, uint64_t part);
    void answerRead(WaitingRead&);
    Bergamot::LogPartition& partition(const std::string& topic, uint64_t part);

    Bergamot::EventLoop& m_loop;
    Record& m_record;
    std::map<std::pair<std::string, uint64_t>, Bergamot::LogPartition> m_partitions;
    std::vector<std::shared_ptr<WaitingRead>> m_waiting;
    size_t m_largestRefused { 0 };
    size_t m_refusedAppends { 0 };
    std::unique_ptr<Bergamot::HttpServer> m_server;
};

}
