#pragma once

#include <LibAdmin/AdminClient.h>
#include <LibAdmin/AdminFailure.h>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace Bergamot {

using AdminResult = std::variant<nlohmann::json, AdminFailure>;
using AdminTextResult = std::variant<std::string, AdminFailure>;

/// Sends requests and parses the replies as JSON objects. Converts errors to failures with an exit status and a
/// suggested action.
class AdminSession {
public:
    explicit AdminSession(AdminClient& client)
        : m_client(client)
    {
    }

    AdminResult get(const std::string& path);
    /// Returns the unparsed body, for replies that are not JSON.
    AdminTextResult getText(const std::string& path);
    AdminResult post(const std::string& path, const nlohmann::json& body, bool isRetryable = true);
    AdminResult remove(const std::string& path);
    /// Sends the request to every entry host and returns the JSON objects of the successful replies.
    std::vector<nlohmann::json> getFromAll(const std::string& path, Milliseconds timeout);

private:
    AdminTextResult sendForText(const AdminRequest& request);
    AdminResult send(const AdminRequest& request);

    AdminClient& m_client;
};

/// Percent-encodes a path segment or a query value.
std::string percentEncoded(const std::string& text);

}
