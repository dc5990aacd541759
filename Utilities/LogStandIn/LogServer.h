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

/// HTTP front end of a LogStore. A waiting read holds only its responder, not a server thread.
class LogServer {
public:
    explicit LogServer(LogStoreOptions);

    /// Called on any server thread.
    void handle(HttpRequest, HttpResponder);

private:
    /// One call with what is needed to answer it.
    struct Call {
        HttpRequest request;
        std::shared_ptr<HttpResponder> responder;
        std::string member;
        std::string requestId;
    };

    struct Waiter {
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
    void answerRead(const Call&, const std::string& stream, LogPosition from, size_t maxBytes, Instant now);
    void answerWaiters(const std::string& stream, Instant now);
    void finishWaiter(uint64_t id);
    void setFault(const Call&, Instant now);
    void sendStats(const Call&);
    void deliver(const Call&, HttpResponse);
    void fail(const Call&, int status, std::string_view error, HttpHeaders headers = {});
    void park(const Call&);

    SteadyClock m_clock;
    std::mutex m_mutex;
    LogStore m_store;
    LogFaults m_faults;
    std::list<Waiter> m_waiters;
    uint64_t m_nextWaiter { 1 };
    std::map<bool, HttpResponse> m_lastAnswers;
    Counters m_counters;

    // Declared last: its thread ends before anything that its tasks use.
    TimerQueue m_timers;
};

}
