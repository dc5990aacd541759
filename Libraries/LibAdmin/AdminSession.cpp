#include <LibAdmin/AdminSession.h>
#include <LibAdmin/JsonFields.h>
#include <LibCore/StatusText.h>
#include <fmt/format.h>
#include <string_view>

namespace Bergamot {

namespace {

    using Json = nlohmann::json;

    struct ProblemHandling {
        std::string_view type;
        ExitStatus status;
        std::string_view next;
    };

    constexpr ProblemHandling problemTable[] = {
        { "unauthorized", ExitStatus::Failed, "check that --token-file names the file the daemons use" },
        { "unknown-zone", ExitStatus::Failed, "see the zones with: bergamotctl status" },
        { "unknown-host", ExitStatus::Failed, "see the hosts with: bergamotctl host list" },
        { "unknown-client", ExitStatus::Failed, "see the clients with: bergamotctl terms show" },
        { "unknown-job", ExitStatus::Failed, "see the jobs with: bergamotctl job list" },
        { "unknown-version", ExitStatus::Failed, "see the versions with: bergamotctl config history" },
        { "config-conflict", ExitStatus::Conflict, "merge the other change and publish again" },
        { "renewal-conflict", ExitStatus::Conflict, "look at the terms in force with: bergamotctl terms show" },
        { "no-renewal-left", ExitStatus::Failed, "add a renewal to the client's configuration and publish it" },
        { "insufficient-capacity", ExitStatus::Failed,
            "add workers, publish smaller terms, or set on_insufficient_capacity = \"largest_that_fits\"" },
        { "config-invalid", ExitStatus::InvalidInput, "correct the findings and publish again" },
        { "log-unavailable", ExitStatus::Failed,
            "nothing was changed; repeat the command when the log is reachable again (bergamotctl status)" },
        { "outcome-unknown", ExitStatus::Failed,
            "the change may have taken effect; check before you repeat the command" },
    };

    std::string shortType(const std::string& type)
    {
        auto colon = type.find_last_of(":/");
        return colon == std::string::npos ? type : type.substr(colon + 1);
    }

    AdminFailure makeFailure(std::string type, std::string message, Json problem = Json::object())
    {
        AdminFailure failure { .type = std::move(type), .message = std::move(message), .problem = std::move(problem) };
        for (const auto& handling : problemTable) {
            if (handling.type == failure.type) {
                failure.status = handling.status;
                failure.next = handling.next;
            }
        }
        if (failure.next.empty())
            failure.next = "see the state of the entry hosts with: bergamotctl status";
        return failure;
    }

    AdminFailure toFailure(const absl::Status& status)
    {
        if (absl::IsDeadlineExceeded(status))
            return makeFailure("outcome-unknown", "the reply was lost: " + statusText(status));
        return { .status = ExitStatus::Unreachable,
            .type = "unreachable",
            .message = "no entry host is reachable: " + statusText(status),
            .next = "check the addresses in --entry, and whether the daemons run" };
    }

    AdminFailure toFailure(const AdminReply& reply)
    {
        auto problem = parseJson(reply.body);
        if (!problem.is_object())
            problem = Json::object();
        auto detail = textField(problem, "detail");
        if (detail.empty())
            detail = textField(problem, "title");
        if (detail.empty())
            detail = fmt::format("the entry host replied with HTTP status {}", reply.status);
        auto type = shortType(textField(problem, "type"));
        return makeFailure(std::move(type), std::move(detail), std::move(problem));
    }

    bool isSuccess(const AdminReply& reply) { return reply.status >= 200 && reply.status < 300; }

}

AdminResult AdminSession::get(const std::string& path) { return send({ .path = path }); }

AdminTextResult AdminSession::getText(const std::string& path) { return sendForText({ .path = path }); }

AdminResult AdminSession::post(const std::string& path, const Json& body, bool isRetryable)
{
    return send({ .method = "POST", .path = path, .body = toText(body), .isRetryable = isRetryable });
}

AdminResult AdminSession::remove(const std::string& path) { return send({ .method = "DELETE", .path = path }); }

std::vector<Json> AdminSession::getFromAll(const std::string& path, Milliseconds timeout)
{
    std::vector<Json> objects;
    for (const auto& reply : m_client.sendToAll({ .path = path, .timeout = timeout })) {
        auto object = parseJson(reply.body);
        if (isSuccess(reply) && object.is_object())
            objects.push_back(std::move(object));
    }
    return objects;
}

AdminTextResult AdminSession::sendForText(const AdminRequest& request)
{
    auto reply = m_client.send(request);
    if (!reply.ok())
        return toFailure(reply.status());
    if (!isSuccess(*reply))
        return toFailure(*reply);
    return std::move(reply->body);
}

AdminResult AdminSession::send(const AdminRequest& request)
{
    auto text = sendForText(request);
    if (auto* failure = std::get_if<AdminFailure>(&text))
        return std::move(*failure);
    auto json = parseJson(std::get<std::string>(text));
    if (!json.is_object())
        return makeFailure("bad-answer", "the reply of the entry host is not a JSON object");
    return json;
}

std::string percentEncoded(const std::string& text)
{
    std::string encoded;
    for (unsigned char c : text) {
        auto isUnreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_' || c == '.' || c == '~';
        if (isUnreserved)
            encoded += static_cast<char>(c);
        else
            encoded += fmt::format("%{:02X}", c);
    }
    return encoded;
}

}
