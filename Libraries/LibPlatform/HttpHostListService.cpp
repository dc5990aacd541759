#include <LibHttp/HttpEngine.h>
#include <LibPlatform/HttpHostListService.h>
#include <exception>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Bergamot {

static HostEntry hostFromJson(const nlohmann::json& json)
{
    return {
        .id = json.at("id"),
        .address = json.at("address"),
        .zone = json.at("zone"),
        .rack = json.at("rack"),
        .capacity = { .cpuMillis = json.at("cpu_millis"),
            .memoryMb = json.at("memory_mb"),
            .accelerators = json.at("accelerators") },
        .leaving = json.at("state") == "leaving",
    };
}

absl::StatusOr<std::vector<HostEntry>> decodeHostList(std::string_view text)
{
    std::vector<HostEntry> hosts;
    // nlohmann-json throws on missing and mistyped keys; the exceptions are converted to a status here.
    try {
        auto json = nlohmann::json::parse(text);
        if (!json.is_array())
            return absl::InvalidArgumentError("the host list is not an array");
        for (const auto& it : json)
            hosts.push_back(hostFromJson(it));
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(fmt::format("malformed host list: {}", error.what()));
    }
    return hosts;
}

void HttpHostListService::list(Callback callback)
{
    m_engine->submit({ .url = m_baseUrl + "/v1/hosts",
                         .timeout = Milliseconds { 2000 },
                         .sendLimit = SendLimit::unlimited(),
                         .requestId = m_requestIds->next() },
        [callback = std::move(callback)](const absl::StatusOr<HttpReply>& reply) {
            if (!reply.ok())
                callback(reply.status());
            else if (reply->status != 200)
                callback(absl::UnavailableError(fmt::format("host list request failed with status {}", reply->status)));
            else
                callback(decodeHostList(reply->body));
        });
}

}
