#pragma once

#include <LibAdmin/AdminApi.h>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Bergamot {

/// Replies set by a test and requests seen by it. The API object itself belongs to the command line, so it holds a
/// reference to this.
struct MockAdmin {
    /// Replies by method and path, in order; the last one is repeated.
    std::map<std::string, std::deque<absl::StatusOr<AdminReply>>> replies {};
    absl::StatusOr<AdminReply> otherReply { AdminReply { .status = 404, .body = "{}" } };
    std::vector<AdminRequest> requests {};

    void reply(const std::string& request, int status, const std::string& body)
    {
        replies[request].push_back(AdminReply { .status = status, .body = body });
    }

    absl::StatusOr<AdminReply> answer(const AdminRequest& request)
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

class MockAdminApi final : public AdminApi {
public:
    explicit MockAdminApi(MockAdmin& mock)
        : m_mock(mock)
    {
    }

    absl::StatusOr<AdminReply> send(const AdminRequest& request) override { return m_mock.answer(request); }

    std::vector<AdminReply> sendToEach(const AdminRequest& request) override
    {
        auto reply = m_mock.answer(request);
        return reply.ok() ? std::vector { *reply } : std::vector<AdminReply> {};
    }

private:
    MockAdmin& m_mock;
};

}
