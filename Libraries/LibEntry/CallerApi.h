#pragma once

#include <LibEntry/Executor.h>
#include <LibEntry/JobApi.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <atomic>

namespace Bergamot {

class EntryNode;

/// HTTP handler for callers' requests: quick requests, jobs, health and readiness. handle() may be called from any
/// thread.
class CallerApi {
public:
    CallerApi(EntryNode& node, JobApi& jobs, Executor executor)
        : m_node(node)
        , m_jobs(jobs)
        , m_executor(std::move(executor))
    {
    }

    void handle(HttpRequest, HttpResponder);

    /// Called on the control thread. The server threads read the flag.
    void setReady(bool isReady) { m_isReady = isReady; }

    /// From this call on, new requests are rejected with 503 and `Connection: close`, except for health and readiness
    /// checks. Requests in progress continue.
    void rejectNewRequests() { m_isRejecting = true; }

private:
    void handleQuickRequest(const std::string& service, HttpRequest, HttpResponder);

    EntryNode& m_node;
    JobApi& m_jobs;
    Executor m_executor;
    std::atomic<bool> m_isReady { false };
    std::atomic<bool> m_isRejecting { false };
};

}
