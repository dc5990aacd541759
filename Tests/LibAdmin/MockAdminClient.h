#pragma once

#include <LibAdmin/AdminClient.h>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Bergamot {

/// The replies that a test sets and the requests that the mock receives. The command line owns the client object, which
/// refers to this object.
struct MockEntryHost {
    /// Replies by method and path, in order; the last one is repeated.
    std::map<std::string, std::deque<absl::StatusOr<AdminReply>>> replies {};
    absl::StatusOr<AdminReply> otherReply { AdminReply { .status = 404, .body = "{}" } };
    std::vector<AdminRequest> requests {};

    void addReply(const std::string& request, int status, const std::string& body)
    {
        replies[request].push_back(AdminReply { .status = status, .body = body });
    }

    absl::StatusOr<AdminReply> handleRequest(const AdminRequest& request)
    {
        requests.push_back(request);
        auto it = replies.find(request.method + " " + request.path);
        if (it == replies.end())
            return otherReply;
        auto reply = it->second.front();
        if (it->second.size() > 1)
            it->second.pop_front();
        return reply;
    }

    /// The bodies sent with this method and path.
    std::vector<std::string> bodiesOf(const std::string& name) const
    {
        std::vector<std::string> bodies;
        for (const auto& request : requests) {
            if (request.method + " " + request.path == name)
                bodies.push_back(request.body);
        }
        return bodies;
    }
};

class MockAdminClient final : public AdminClient {
public:
    explicit MockAdminClient(MockEntryHost& mock)
        : m_mock(mock)
    {
    }

    absl::StatusOr<AdminReply> send(const AdminRequest& request) override { return m_mock.handleRequest(request); }

    std::vector<AdminReply> sendToAll(const AdminRequest& request) override
    {
        auto reply = m_mock.handleRequest(request);
        return reply.ok() ? std::vector { *reply } : std::vector<AdminReply> {};
    }

private:
    MockEntryHost& m_mock;
};

}
