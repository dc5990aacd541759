#pragma once

#include <LibAdmin/AdminApi.h>
#include <LibAdmin/AdminFailure.h>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace Bergamot {

using AdminResult = std::variant<nlohmann::json, AdminFailure>;
using AdminTextResult = std::variant<std::string, AdminFailure>;

/// Turns answers into JSON objects, and errors into failures with an exit status and advice.
class AdminSession {
public:
    explicit AdminSession(AdminApi& api)
        : m_api(api)
    {
    }

    AdminResult get(const std::string& path);
    /// The body as it came, for answers that are not JSON.
    AdminTextResult getText(const std::string& path);
    AdminResult post(const std::string& path, const nlohmann::json& body, bool isRepeatable = true);
    AdminResult remove(const std::string& path);
    /// The JSON answers of every entry host that answered with success.
    std::vector<nlohmann::json> getFromEach(const std::string& path, Milliseconds timeout);

private:
    AdminTextResult sendForText(const AdminRequest& request);
    AdminResult send(const AdminRequest& request);

    AdminApi& m_api;
};

/// Percent-encodes a path segment or a query value.
std::string percentEncoded(const std::string& text);

}
