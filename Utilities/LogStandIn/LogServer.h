#pragma once

#include <LibCore/SteadyClock.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <LibStandIn/LogFaults.h>
#include <LibStandIn/LogStore.h>
#include <LibStandIn/TimerQueue.h>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Bergamot {

/// HTTP front end of a LogStore. A long-polling read does not occupy a server thread.
class LogServer {
public:
    explicit LogServer(LogStoreOptions);

    /// Handles one call. Safe to call from any server thread.
    void handle(HttpRequest, HttpResponder);

private:
    /// A received call with its responder.
    struct Call {
        HttpRequest request;
        std::shared_ptr<HttpResponder> responder;
        std::string member;
        std::string requestId;
    };

    struct WaitingRead {
        uint64_t id { 0 };
        Call call;
        std::string stream;
        LogPosition from { 0 };
        size_t maxBytes { 0 };
    };

    struct Counters {
        uint64_t appends { 0 };
        uint64_t reads { 0 };
        uint64_t faults { 0 };
    };

    void process(Call);
    void append(const Call&, const std::string& stream, Instant now);
    void read(Call, const std::string& stream, Instant now);
    void replyToRead(const Call&, const std::string& stream, LogPosition from, size_t maxBytes, Instant now);
    void replyToWaitingReads(const std::string& stream, Instant now);
    void expireWaitingRead(uint64_t id);
    void setFault(const Call&, Instant now);
    void sendStats(const Call&);
    void deliver(const Call&, HttpResponse);
    void fail(const Call&, int status, std::string_view error, HttpHeaders headers = {});
    void withholdReply(const Call&);

    SteadyClock m_clock;
    std::mutex m_mutex;
    LogStore m_store;
    LogFaults m_faults;
    std::list<WaitingRead> m_waitingReads;
    uint64_t m_nextWaitingReadId { 1 };
    std::map<bool, HttpResponse> m_lastReplies;
    Counters m_counters;

    // Declared last, so that its thread stops before the members that its tasks use are destroyed.
    TimerQueue m_timers;
};

}
