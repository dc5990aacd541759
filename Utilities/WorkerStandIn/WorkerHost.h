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
    /// The timers must outlive the last call, and end before this object.
    WorkerHost(WorkerModelOptions, TimerQueue&);

    /// Called on any server thread.
    void handle(HttpRequest, HttpResponder);

    /// InvalidArgument for a bad order.
    absl::Status setFault(const nlohmann::json& order);

    /// Execution records as JSON lines.
    std::string records();

    const WorkerId& id() const { return m_model.options().id; }

private:
    using Responder = std::shared_ptr<HttpResponder>;

    struct PendingAnswer {
        uint64_t id { 0 };
        HttpResponse response;
        Responder responder;
    };

    void process(HttpRequest, Responder);
    HttpResponse workerCall(const HttpRequest&, Instant now);
    void serve(HttpRequest, Responder, Instant now);
    void finishService(size_t slot, HttpResponse, Responder);
    void deliver(HttpResponse, Responder, bool isService);
    void cross(HttpResponse, Responder);
    void releaseCrossed(uint64_t id);
    void park(Responder);

    SteadyClock m_clock;
    TimerQueue& m_timers;
    std::mutex m_mutex;
    WorkerModel m_model;
    WorkerFaults m_faults;
    std::optional<PendingAnswer> m_crossing;
    uint64_t m_nextCrossing { 1 };
    int64_t m_serviceCalls { 0 };
};

}
