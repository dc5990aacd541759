#include <LibEntry/Problem.h>
#include <nlohmann/json.hpp>

namespace Bergamot {

HttpResponse toResponse(const Problem& problem)
{
    nlohmann::json json {
        { "type", "urn:bergamotbay:" + std::string(problem.type) },
        { "title", problem.title },
        { "status", problem.status },
        { "ran", toString(problem.ran) },
    };
    if (!problem.detail.empty())
        json["detail"] = problem.detail;
    if (!problem.field.empty())
        json["field"] = problem.field;
    HttpResponse response { .status = problem.status, .contentType = "application/problem+json" };
    response.headers.push_back({ "X-Ran", std::string(toString(problem.ran)) });
    if (problem.retryAfterSeconds > 0)
        response.headers.push_back({ "Retry-After", std::to_string(problem.retryAfterSeconds) });
    // The detail may quote input that is not valid UTF-8. Invalid bytes are replaced; with the default handler, dump()
    // would throw.
    response.body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

HttpResponse unconfirmedConfigResponse()
{
    return toResponse(Problem { .status = 503,
        .type = "config-unconfirmed",
        .title = "This entry host was paused and has not confirmed its configuration since",
        .retryAfterSeconds = 1 });
}

}
