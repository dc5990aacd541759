#include <LibConfig/SiteConfigCodec.h>
#include <LibConfig/TermsCapacity.h>
#include <LibCore/StatusText.h>
#include <LibEntry/EntryNode.h>
#include <LibEntry/OperatorApi.h>
#include <LibEntry/StatusView.h>
#include <LibEntry/TermsPolicy.h>
#include <LibReport/BurnFormat.h>
#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace Bergamot {

using Json = nlohmann::json;

static constexpr Milliseconds appendTimeout { 5000 };

static HttpResponse jsonResponse(const Json& json, int status = 200)
{
    return { .status = status, .body = json.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

static HttpResponse problemResponse(int status, std::string_view type, std::string_view title, std::string detail = {})
{
    return toResponse(Problem { .status = status, .type = type, .title = title, .detail = std::move(detail) });
}

/// Returns a problem document with additional members.
static HttpResponse problemResponseWithFields(
    int status, std::string_view type, std::string_view title, const Json& fields, std::string detail = {})
{
    auto response = problemResponse(status, type, title, std::move(detail));
    auto json = Json::parse(response.body);
    json.update(fields);
    response.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    return response;
}

// The running time does not depend on the position of a difference, so it does not reveal parts of the token.
static bool equalsInConstantTime(std::string_view expected, std::string_view given)
{
    unsigned difference = expected.size() == given.size() ? 0 : 1;
    for (size_t i = 0; i < given.size(); ++i)
        difference |= static_cast<unsigned char>(given[i]) ^ static_cast<unsigned char>(expected[i % expected.size()]);
    return difference == 0;
}

void OperatorApi::handle(HttpRequest request, HttpResponder responder)
{
    constexpr std::string_view scheme = "Bearer ";
    auto authorization = headerValue(request.headers, "Authorization");
    bool isAuthorized = !m_token.empty() && authorization.starts_with(scheme)
        && equalsInConstantTime(m_token, authorization.substr(scheme.size()));
    if (!isAuthorized) {
        responder.send(problemResponse(401, "unauthorized", "The bearer token is missing or wrong"));
        return;
    }
    auto sharedResponder = std::make_shared<HttpResponder>(std::move(responder));
    m_executor([this, request = std::move(request), sharedResponder] { route(request, std::move(*sharedResponder)); });
}

void OperatorApi::route(const HttpRequest& request, HttpResponder responder)
{
    auto segments = request.segments();
    if (segments.size() >= 2 && segments[0] == "v1" && segments[1] == "jobs")
        m_jobs.handle(request, std::move(responder));
    else if (segments.size() == 1 && segments[0] == "metrics")
        responder.send({ .contentType = "text/plain; version=0.0.4", .body = m_node.metrics().text() });
    else if (segments.size() >= 2 && segments[0] == "admin")
        routeAdmin(request, segments, std::move(responder));
    else
        responder.send(problemResponse(404, "not-found", "No such path", request.path));
}

void OperatorApi::routeAdmin(
    const HttpRequest& request, const std::vector<std::string>& segments, HttpResponder responder)
{
    auto matches = [&](std::string_view method, std::string_view name, size_t count) {
        return request.method == method && segments[1] == name && segments.size() == count;
    };
    bool showsConfig = matches("GET", "status", 2) || matches("GET", "config", 2);
    if (showsConfig && !m_node.isConfigConfirmed())
        responder.send(unconfirmedConfigResponse());
    else if (matches("GET", "status", 2))
        responder.send(jsonResponse(statusJson(m_node, m_node.clock().now(), m_startedAt)));
    else if (matches("GET", "state", 2))
        responder.send(jsonResponse(stateJson(m_node, m_node.clock().now())));
    else if (matches("GET", "config", 2))
        showConfig(request, std::move(responder));
    else if (matches("GET", "config", 3) && segments[2] == "history")
        showConfigHistory(std::move(responder));
    else if (matches("POST", "config", 2))
        publishConfig(request, std::move(responder));
    else if (matches("POST", "zones", 3))
        changeZone(segments[2], request, std::move(responder));
    else if (matches("POST", "hosts", 3))
        changeHost(segments[2], request, std::move(responder));
    else if (matches("GET", "terms", 2))
        showTerms(std::move(responder));
    else if (matches("POST", "terms", 4) && segments[3] == "renew")
        renewTerms(segments[2], request, std::move(responder));
    else if (matches("GET", "why", 3))
        explainJob(segments[2], std::move(responder));
    else if (matches("GET", "burn", 2))
        showBurnReport(request, std::move(responder));
    else
        responder.send(problemResponse(404, "not-found", "No such path", request.path));
}

static Json configJson(const ConfigPublished& config, int64_t timeMs)
{
    return { { "version", config.version }, { "based_on", config.basedOn }, { "author", config.author },
        { "time_ms", config.version == 0 ? 0 : timeMs },
        { "body", config.version == 0 ? Json() : Json::parse(config.body, nullptr, false) } };
}

void OperatorApi::showConfig(const HttpRequest& request, HttpResponder responder) const
{
    const auto& image = m_node.configStream().state().image();
    auto requestedVersion = headerValue(request.query, "version");
    if (requestedVersion.empty() || requestedVersion == std::to_string(m_node.activeConfig().version)) {
        responder.send(jsonResponse(configJson(m_node.activeConfig(), image.logTimeMs)));
        return;
    }
    const auto* configVersion = m_node.findConfigVersion(requestedVersion);
    responder.send(configVersion
            ? jsonResponse(configJson(configVersion->config, configVersion->timeMs))
            : problemResponse(404, "unknown-version", "This version is not held", std::string(requestedVersion)));
}

void OperatorApi::showConfigHistory(HttpResponder responder) const
{
    auto entries = Json::array();
    const auto& history = m_node.configHistory();
    for (auto it = history.rbegin(); it != history.rend(); ++it) {
        entries.push_back({ { "version", it->config.version }, { "based_on", it->config.basedOn },
            { "author", it->config.author }, { "time_ms", it->timeMs } });
    }
    responder.send(jsonResponse({ { "entries", entries } }));
}

/// Response for a record that was not appended to the log (503) or whose outcome is unknown (504).
static HttpResponse appendFailedResponse(const absl::Status& status)
{
    bool isOutcomeUnknown = absl::IsUnknown(status);
    return toResponse(Problem { .status = isOutcomeUnknown ? 504 : 503,
        .type = isOutcomeUnknown ? "outcome-unknown" : "log-unavailable",
        .title = isOutcomeUnknown ? "The outcome is not known" : "The log does not take records now",
        .detail = statusText(status),
        .ran = isOutcomeUnknown ? RanState::Unknown : RanState::No,
        .retryAfterSeconds = 2 });
}

static ZoneCapacities zoneCapacities(const StateImage& image)
{
    std::map<ZoneId, int64_t> counts;
    for (const auto& [id, worker] : image.workers) {
        if (!worker.spec.gone && !worker.spec.leaving)
            ++counts[worker.spec.zone];
    }
    ZoneCapacities result;
    for (const auto& [zone, workers] : counts)
        result.push_back({ .zone = zone, .workers = workers });
    return result;
}

static TermsInForce termsInForce(const StateImage& image)
{
    TermsInForce result;
    for (const auto& [client, terms] : image.terms)
        result[client]
            = { .requestsPerSecond = terms.current.requestsPerSecond, .concurrency = terms.current.concurrency };
    return result;
}

static HttpResponse invalidConfigResponse(const Findings& findings)
{
    auto list = Json::array();
    for (const auto& finding : findings)
        list.push_back({ { "file", finding.file }, { "line", finding.line }, { "key", finding.key },
            { "message", finding.message } });
    return problemResponseWithFields(422, "config-invalid", "The configuration has findings", { { "findings", list } });
}

static HttpResponse configConflictResponse(const ConfigPublished& config, int64_t timeMs)
{
    return problemResponseWithFields(409, "config-conflict", "Another version is in force", configJson(config, timeMs),
        fmt::format("version {} by {} is in force", config.version, config.author));
}

void OperatorApi::publishConfig(const HttpRequest& request, HttpResponder responder)
{
    auto json = Json::parse(request.body, nullptr, false);
    bool isValid = json.is_object() && json.contains("based_on") && json["based_on"].is_number_unsigned()
        && json.contains("body") && json["body"].is_object() && json.contains("author") && json["author"].is_string();
    if (!isValid) {
        responder.send(problemResponse(400, "bad-request", "based_on, author and body are required"));
        return;
    }
    auto decoded = decodeSiteConfig(json["body"].dump());
    if (auto* findings = std::get_if<Findings>(&decoded)) {
        responder.send(invalidConfigResponse(*findings));
        return;
    }
    const auto& config = std::get<SiteConfig>(decoded);
    const auto& region = m_node.region().state().image();
    // Before the first worker is known, there is no capacity to check the terms against.
    if (auto capacity = zoneCapacities(region); !capacity.empty()) {
        auto findings = checkTermsFit(config, capacity, termsInForce(region));
        if (!findings.empty()) {
            responder.send(invalidConfigResponse(findings));
            return;
        }
    }
    const auto& image = m_node.configStream().state().image();
    auto basedOn = json["based_on"].get<uint64_t>();
    if (basedOn != image.config.version) {
        responder.send(configConflictResponse(image.config, image.logTimeMs));
        return;
    }
    ConfigPublished record {
        .version = basedOn + 1, .basedOn = basedOn, .author = json["author"], .body = encodeSiteConfig(config)
    };
    auto sharedResponder = std::make_shared<HttpResponder>(std::move(responder));
    m_node.configStream().appends().submit(
        record,
        [this, basedOn, sharedResponder](const absl::Status& status) {
            const auto& image = m_node.configStream().state().image();
            if (status.ok())
                sharedResponder->send(jsonResponse({ { "version", basedOn + 1 }, { "based_on", basedOn } }));
            else if (absl::IsFailedPrecondition(status))
                sharedResponder->send(configConflictResponse(image.config, image.logTimeMs));
            else
                sharedResponder->send(appendFailedResponse(status));
        },
        m_node.clock().now() + appendTimeout);
}

static std::optional<bool> parseFlag(const HttpRequest& request, const char* name)
{
    auto json = Json::parse(request.body, nullptr, false);
    if (!json.is_object() || json.size() != 1 || !json.contains(name) || !json[name].is_boolean())
        return std::nullopt;
    return json[name].get<bool>();
}

void OperatorApi::changeZone(const std::string& zone, const HttpRequest& request, HttpResponder responder)
{
    auto out = parseFlag(request, "out");
    const auto& image = m_node.region().state().image();
    bool isKnown = std::ranges::any_of(image.workers, [&](const auto& it) { return it.second.spec.zone == zone; });
    if (auto config = m_node.config(); config && config->findRegionOfZone(zone))
        isKnown = true;
    if (!out || !isKnown) {
        responder.send(out
                ? problemResponse(404, "unknown-zone", "No such zone", zone)
                : problemResponse(400, "bad-request", R"(The body must be {"out": true} or {"out": false})"));
        return;
    }
    bool changesState = image.zonesOut.contains(zone) != *out;
    auto sharedResponder = std::make_shared<HttpResponder>(std::move(responder));
    m_node.region().appends().submit(
        ZoneChanged { .zone = zone, .out = *out },
        [this, zone, out = *out, changesState, sharedResponder](const absl::Status& status) {
            sharedResponder->send(status.ok() ? jsonResponse({ { "zone", zone }, { "out", out },
                                      { "changed", changesState }, { "position", m_node.region().state().position() } })
                                              : appendFailedResponse(status));
        },
        m_node.clock().now() + appendTimeout);
}

void OperatorApi::changeHost(const std::string& host, const HttpRequest& request, HttpResponder responder)
{
    auto draining = parseFlag(request, "draining");
    const auto* worker = m_node.region().state().findWorker(host);
    if (!draining || !worker) {
        responder.send(draining
                ? problemResponse(404, "unknown-host", "No such host", host)
                : problemResponse(400, "bad-request", R"(The body must be {"draining": true} or {"draining": false})"));
        return;
    }
    bool changesState = worker->draining != *draining;
    auto sharedResponder = std::make_shared<HttpResponder>(std::move(responder));
    m_node.region().appends().submit(
        WorkerDrainChanged { .worker = host, .draining = *draining },
        [this, host, draining = *draining, changesState, sharedResponder](const absl::Status& status) {
            sharedResponder->send(status.ok() ? jsonResponse({ { "host", host }, { "draining", draining },
                                      { "changed", changesState }, { "position", m_node.region().state().position() } })
                                              : appendFailedResponse(status));
        },
        m_node.clock().now() + appendTimeout);
}

static std::string_view priorityClassName(PriorityClass priority)
{
    switch (priority) {
    case PriorityClass::High:
        return "high";
    case PriorityClass::Normal:
        return "normal";
    case PriorityClass::Low:
        return "low";
    }
    return "normal";
}

static Json termsJson(const ClientTerms& terms)
{
    return { { "requests_per_second", terms.requestsPerSecond }, { "concurrency", terms.concurrency } };
}

void OperatorApi::showTerms(HttpResponder responder) const
{
    auto config = m_node.config();
    if (!config) {
        responder.send(problemResponse(503, "not-ready", "No configuration is in force yet"));
        return;
    }
    const auto& image = m_node.region().state().image();
    TermsPolicy policy(*config, image);
    auto clients = Json::array();
    for (const auto& client : config->clients) {
        auto renewalCount = policy.renewalCount(client);
        auto next = policy.nextTerms(client);
        clients.push_back({ { "client", client.name }, { "renewal", renewalCount },
            { "renewals_left", client.renewals.size() > renewalCount ? client.renewals.size() - renewalCount : 0 },
            { "requests_per_second", policy.currentTerms(client).requestsPerSecond },
            { "concurrency", policy.currentTerms(client).concurrency },
            { "priority_class", priorityClassName(client.priorityClass) },
            { "on_insufficient_capacity",
                client.onInsufficientCapacity == InsufficientCapacityRule::Refuse ? "refuse" : "largest_that_fits" },
            { "next", next ? termsJson(*next) : Json() } });
    }
    Json capacity { { "slots", policy.totalSlots() }, { "slots_largest_zone_out", policy.slotsWithLargestZoneOut() },
        { "guaranteed", policy.guaranteedConcurrency() } };
    responder.send(jsonResponse({ { "capacity", capacity }, { "clients", clients } }));
}

void OperatorApi::renewTerms(const std::string& name, const HttpRequest& request, HttpResponder responder)
{
    auto config = m_node.config();
    const auto* client = config ? config->findClient(name) : nullptr;
    if (!client) {
        responder.send(problemResponse(404, "unknown-client", "No such client", name));
        return;
    }
    auto json = Json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("renewal") || !json["renewal"].is_number_unsigned()) {
        responder.send(problemResponse(400, "bad-request", "renewal is required"));
        return;
    }
    TermsPolicy policy(*config, m_node.region().state().image());
    auto decision = policy.renew(*client, json["renewal"].get<uint64_t>());
    if (auto* rejection = std::get_if<TermsPolicy::Rejection>(&decision)) {
        Json fields { { "renewal", policy.renewalCount(*client) }, { "requested", termsJson(rejection->requested) },
            { "largest", termsJson(rejection->largestThatFits) } };
        fields.update(termsJson(policy.currentTerms(*client)));
        responder.send(problemResponseWithFields(409, rejection->type, rejection->title, fields));
        return;
    }
    const auto& grant = std::get<TermsPolicy::Grant>(decision);
    auto sharedResponder = std::make_shared<HttpResponder>(std::move(responder));
    m_node.region().appends().submit(
        grant.record,
        [this, grant, sharedResponder, name](const absl::Status& status) {
            if (status.ok()) {
                sharedResponder->send(jsonResponse({ { "client", name }, { "renewal", grant.record.renewal },
                    { "requests_per_second", grant.record.requestsPerSecond },
                    { "concurrency", grant.record.concurrency }, { "reduced", grant.isReduced } }));
            } else if (absl::IsFailedPrecondition(status)) {
                auto it = m_node.region().state().image().terms.find(name);
                auto renewalCount = it == m_node.region().state().image().terms.end() ? 0 : it->second.current.renewal;
                sharedResponder->send(problemResponseWithFields(409, "renewal-conflict",
                    "Another renewal came first or the capacity is taken", { { "renewal", renewalCount } },
                    statusText(status)));
            } else {
                sharedResponder->send(appendFailedResponse(status));
            }
        },
        m_node.clock().now() + appendTimeout);
}

void OperatorApi::explainJob(const std::string& id, HttpResponder responder) const
{
    const auto& state = m_node.region().state();
    const auto* job = state.findJob(id);
    if (!job) {
        responder.send(problemResponse(404, "unknown-job", "No such job", id));
        return;
    }
    Json json { { "job", id }, { "state", job->hasEnded() ? std::string_view("ended") : toString(job->phase) },
        { "waiting_ms", state.image().logTimeMs - job->changedAtMs }, { "reasons", Json::array() },
        { "attempts", Json::array() } };
    if (job->phase == JobPhase::Pending) {
        auto reasons = m_node.scheduler().whyWaiting(id);
        if (reasons.ok()) {
            for (const auto& reason : *reasons)
                json["reasons"].push_back({ { "code", "waiting" }, { "detail", reason } });
        } else {
            json["reasons"].push_back({ { "code", "ask-leader" },
                { "detail", fmt::format("entry host {} leads and knows the reason", state.image().leader.member) } });
        }
    }
    responder.send(jsonResponse(json));
}

static HttpResponse burnResponse(const BurnReport& report, std::string_view format)
{
    if (format == "json")
        return { .body = formatBurnJson(report) };
    if (format == "html")
        return { .contentType = "text/html; charset=utf-8", .body = formatBurnHtml(report) };
    return { .contentType = "text/plain; charset=utf-8", .body = formatBurnText(report) };
}

void OperatorApi::showBurnReport(const HttpRequest& request, HttpResponder responder) const
{
    auto sharedResponder = std::make_shared<HttpResponder>(std::move(responder));
    m_node.collectBurn([sharedResponder, format = std::string(headerValue(request.query, "format"))](
                           const BurnReport& report) { sharedResponder->send(burnResponse(report, format)); });
}

}
