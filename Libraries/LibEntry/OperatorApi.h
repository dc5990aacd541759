#pragma once

#include <LibEntry/Executor.h>
#include <LibEntry/JobApi.h>
#include <LibEntry/Problem.h>
#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Bergamot {

class EntryNode;

/// HTTP handler for operators' requests (docs/admin-api.md). Rejects requests with a missing or wrong bearer
/// token with 401. The token is compared in constant time.
class OperatorApi {
public:
    OperatorApi(EntryNode& node, JobApi& jobs, Executor executor, std::string token, Instant startedAt)
        : m_node(node)
        , m_jobs(jobs)
        , m_executor(std::move(executor))
        , m_token(std::move(token))
        , m_startedAt(startedAt)
    {
    }

    /// May be called from any thread. Authorised requests are processed on the control thread.
    void handle(HttpRequest, HttpResponder);

private:
    void route(const HttpRequest&, HttpResponder);
    void routeAdmin(const HttpRequest&, const std::vector<std::string>& segments, HttpResponder);
    void showConfig(const HttpRequest&, HttpResponder) const;
    void showConfigHistory(HttpResponder) const;
    void publishConfig(const HttpRequest&, HttpResponder);
    void changeZone(const std::string& zone, const HttpRequest&, HttpResponder);
    void changeHost(const std::string& host, const HttpRequest&, HttpResponder);
    void showTerms(HttpResponder) const;
    void renewTerms(const std::string& client, const HttpRequest&, HttpResponder);
    void explainJob(const std::string& job, HttpResponder) const;
    void showBurnReport(const HttpRequest&, HttpResponder) const;

    EntryNode& m_node;
    JobApi& m_jobs;
    Executor m_executor;
    std::string m_token;
    Instant m_startedAt;
};

}
