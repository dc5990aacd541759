#pragma once

#include <LibCore/SteadyClock.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <LibStandIn/TimerQueue.h>
#include <LibStandIn/WorkerFaults.h>
#include <LibStandIn/WorkerModel.h>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Bergamot {

/// HTTP front end of one simulated worker.
class WorkerHost {
public:
    /// The timer queue must outlive the last call to this object, but its thread must have stopped before this object
    /// is destroyed.
    WorkerHost(WorkerModelOptions, TimerQueue&);

    /// Handles one call. Safe to call from any server thread.
    void handle(HttpRequest, HttpResponder);

    /// Returns InvalidArgument for an invalid fault request.
    absl::Status setFault(const nlohmann::json& fault);

    /// Returns all records of this worker as JSON lines.
    std::string records();

    const WorkerId& id() const { return m_model.options().id; }

private:
    using Responder = std::shared_ptr<HttpResponder>;

    struct PendingReply {
        uint64_t id { 0 };
        HttpResponse response;
        Responder responder;
    };

    void process(HttpRequest, Responder);
    HttpResponse handleWorkerCall(const HttpRequest&, Instant now);
    void handleServiceCall(HttpRequest, Responder, Instant now);
    void finishServiceCall(size_t slot, HttpResponse, Responder);
    void deliver(HttpResponse, Responder, bool isService);
    void swapReplies(HttpResponse, Responder);
    void expireSwap(uint64_t id);
    void withholdReply(Responder);

    SteadyClock m_clock;
    TimerQueue& m_timers;
    std::mutex m_mutex;
    WorkerModel m_model;
    WorkerFaults m_faults;
    std::optional<PendingReply> m_pendingSwap;
    uint64_t m_nextSwapId { 1 };
    int64_t m_serviceCalls { 0 };
};

}
