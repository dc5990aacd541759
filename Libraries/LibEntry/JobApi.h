#pragma once

#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>

namespace Bergamot {

class EntryNode;
struct JobState;

/// HTTP handler for job requests of callers and operators: submit, show, list and cancel. Runs on the control thread.
class JobApi {
public:
    explicit JobApi(EntryNode& node)
        : m_node(node)
    {
    }

    /// Handles requests to /v1/jobs and to all paths below it.
    void handle(const HttpRequest&, HttpResponder);

private:
    void submit(const HttpRequest&, HttpResponder);
    void show(const std::string& id, HttpResponder) const;
    void list(const HttpRequest&, HttpResponder) const;
    void cancel(const std::string& id, HttpResponder);
    HttpResponse jobResponse(const JobState&, int status) const;

    EntryNode& m_node;
    uint64_t m_lastJobNumber { 0 };
};

}
