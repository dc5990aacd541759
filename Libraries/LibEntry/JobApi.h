#pragma once

#include <LibHttp/HttpRequest.h>
#include <LibHttp/HttpResponder.h>

namespace Bergamot {

class EntryNode;
struct JobState;

/// The job interface that callers and operators share: submit, show, list, cancel. Runs on the control thread.
class JobApi {
public:
    explicit JobApi(EntryNode& node)
        : m_node(node)
    {
    }

    /// Handles every path below /v1/jobs.
    void handle(const HttpRequest&, HttpResponder);

private:
    void submit(const HttpRequest&, HttpResponder);
    void show(const std::string& id, HttpResponder) const;
    void list(const HttpRequest&, HttpResponder) const;
    void cancel(const std::string& id, HttpResponder);
    HttpResponse describe(const JobState&, int status) const;

    EntryNode& m_node;
    uint64_t m_lastJob { 0 };
};

}
