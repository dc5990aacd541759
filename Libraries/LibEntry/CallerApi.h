#pragma once

#include <LibEntry/Executor.h>
#include <LibEntry/JobApi.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <atomic>

namespace Bergamot {

class EntryNode;

/// The callers' HTTP interface: quick requests, jobs, health and readiness. handle() may be called from any thread.
class CallerApi {
public:
    CallerApi(EntryNode& node, JobApi& jobs, Executor executor)
        : m_node(node)
        , m_jobs(jobs)
        , m_executor(std::move(executor))
    {
    }

    void handle(HttpRequest, HttpResponder);

    /// Published by the control thread, read by the threads of the server.
    void setReady(bool ready) { m_ready = ready; }

    /// New requests are refused from here on, and their connections asked to close; requests in progress go on.
    void refuseNewRequests() { m_refusing = true; }

private:
    void quickRequest(const std::string& service, HttpRequest, HttpResponder);

    EntryNode& m_node;
    JobApi& m_jobs;
    Executor m_executor;
    std::atomic<bool> m_ready { false };
    std::atomic<bool> m_refusing { false };
};

}
