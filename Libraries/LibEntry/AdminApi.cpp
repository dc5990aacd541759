#include <LibConfig/SiteConfigCodec.h>
#include <LibConfig/TermsCapacity.h>
#include <LibCore/StatusText.h>
#include <LibEntry/AdminApi.h>
#include <LibEntry/EntryNode.h>
#include <LibEntry/StatusView.h>
#include <LibEntry/TermsPolicy.h>
#include <LibReport/BurnFormat.h>
#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace Bergamot {

using Json = nlohmann::json;

static constexpr Milliseconds recordDeadline { 5000 };

static HttpResponse jsonResponse(const Json& json, int status = 200)
{
    return { .status = status, .body = json.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

static HttpResponse problem(int status, std::string_view type, std::string_view title, std::string detail = {})
{
    return toResponse(Problem { .status = status, .type = type, .title = title, .detail = std::move(detail) });
}

/// A problem document with further fields.
static HttpResponse problemWith(
    int status, std::string_view type, std::string_view title, const Json& fields, std::string detail = {})
{
    auto response = problem(status, type, title, std::move(detail));
    auto json = Json::parse(response.body);
    json.update(fields);
    response.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    return response;
}

// The time does not depend on where the texts differ.
static bool equalsInConstantTime(std::string_view expected, std::string_view given)
{
    unsigned difference = expected.size() == given.size() ? 0 : 1;
    for (size_t i = 0; i < given.size(); ++i)
        difference |= static_cast<unsigned char>(given[i]) ^ static_cast<unsigned char>(expected[i % expected.size()]);
    return difference == 0;
}

void AdminApi::handle(HttpRequest request, HttpResponder responder)
{
    constexpr std::string_view scheme = "Bearer ";
    auto authorization = headerValue(request.headers, "Authorization");
    bool authorized = !m_token.empty() && authorization.starts_with(scheme)
        && equalsInConstantTime(m_token, authorization.substr(scheme.size()));
    if (!authorized) {
        responder.send(problem(401, "unauthorized", "The bearer token is missing or wrong"));
        return;
    }
    auto shared = std::make_shared<HttpResponder>(std::move(responder));
    m_executor([this, request = std::move(request), shared] { route(request, std::move(*shared)); });
}

void AdminApi::route(const HttpRequest& request, HttpResponder responder)
{
    auto segments = request.segments();
    if (segments.size() >= 2 && segments[0] == "v1" && segments[1] == "jobs")
        m_jobs.handle(request, std::move(responder));
    else if (segments.size() == 1 && segments[0] == "metrics")
        responder.send({ .contentType = "text/plain; version=0.0.4", .body = m_node.metrics().text() });
    else if (segments.size() >= 2 && segments[0] == "admin")
        routeAdmin(request, segments, std::move(responder));
    else
        responder.send(problem(404, "not-found", "No such path", request.path));
}

void AdminApi::routeAdmin(const HttpRequest& request, const std::vector<std::string>& segments, HttpResponder responder)
{
    auto matches = [&](std::string_view method, std::string_view name, size_t count) {
        return request.method == method && segments[1] == name && segments.size() == count;
    };
    if (matches("GET", "status", 2))
        responder.send(jsonResponse(statusJson(m_node, m_node.clock().now(), m_started)));
    else if (matches("GET", "state", 2))
        responder.send(jsonResponse(stateJson(m_node, m_node.clock().now())));
    else if (matches("GET", "config", 2))
        showConfig(request, std::move(responder));
    else if (matches("GET", "config", 3) && segments[2] == "history")
        configHistory(std::move(responder));
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
        why(segments[2], std::move(responder));
    else if (matches("GET", "burn", 2))
        burn(request, std::move(responder));
    else
        responder.send(problem(404, "not-found", "No such path", request.path));
}

static Json configJson(const ConfigPublished& config, int64_t timeMs)
{
    return { { "version", config.version }, { "based_on", config.basedOn }, { "author", config.author },
        { "time_ms", config.version == 0 ? 0 : timeMs },
        { "body", config.version == 0 ? Json() : Json::parse(config.body, nullptr, false) } };
}

void AdminApi::showConfig(const HttpRequest& request, HttpResponder responder) const
{
    const auto& image = m_node.configStream().state().image();
    auto wanted = headerValue(request.query, "version");
    if (wanted.empty() || wanted == std::to_string(m_node.activeConfig().version)) {
        responder.send(jsonResponse(configJson(m_node.activeConfig(), image.logTimeMs)));
        return;
    }
    const auto* earlier = m_node.findConfigVersion(wanted);
    responder.send(earlier ? jsonResponse(configJson(earlier->config, earlier->timeMs))
                           : problem(404, "unknown-version", "This version is not held", std::string(wanted)));
}

void AdminApi::configHistory(HttpResponder responder) const
{
    auto entries = Json::array();
    const auto& history = m_node.configHistory();
    for (auto it = history.rbegin(); it != history.rend(); ++it) {
        entries.push_back({ { "version", it->config.version }, { "based_on", it->config.basedOn },
            { "author", it->config.author }, { "time_ms", it->timeMs } });
    }
    responder.send(jsonResponse({ { "entries", entries } }));
}

/// The answer for a record that the log did not take, or whose outcome is open.
static HttpResponse notRecorded(const absl::Status& status)
{
    bool unknown = absl::IsUnknown(status);
    return toResponse(Problem { .status = unknown ? 504 : 503,
        .type = unknown ? "outcome-unknown" : "log-unavailable",
        .title = unknown ? "The outcome is not known" : "The log does not take records now",
        .detail = statusText(status),
        .ran = unknown ? RanState::Unknown : RanState::No,
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

static HttpResponse invalidConfig(const Findings& findings)
{
    auto list = Json::array();
    for (const auto& finding : findings)
        list.push_back({ { "file", finding.file }, { "line", finding.line }, { "key", finding.key },
            { "message", finding.message } });
    return problemWith(422, "config-invalid", "The configuration has findings", { { "findings", list } });
}

static HttpResponse conflict(const ConfigPublished& config, int64_t timeMs)
{
    return problemWith(409, "config-conflict", "Another version is in force", configJson(config, timeMs),
        fmt::format("version {} by {} is in force", config.version, config.author));
}

void AdminApi::publishConfig(const HttpRequest& request, HttpResponder responder)
{
    auto json = Json::parse(request.body, nullptr, false);
    bool valid = json.is_object() && json.contains("based_on") && json["based_on"].is_number_unsigned()
        && json.contains("body") && json["body"].is_object() && json.contains("author") && json["author"].is_string();
    if (!valid) {
        responder.send(problem(400, "bad-request", "based_on, author and body are required"));
        return;
    }
    auto decoded = decodeSiteConfig(json["body"].dump());
    if (auto* findings = std::get_if<Findings>(&decoded)) {
        responder.send(invalidConfig(*findings));
        return;
    }
    const auto& config = std::get<SiteConfig>(decoded);
    const auto& region = m_node.region().state().image();
    // Without any known worker there is no capacity to compare with yet.
    if (auto capacity = zoneCapacities(region); !capacity.empty()) {
        auto findings = checkTermsFit(config, capacity, termsInForce(region));
        if (!findings.empty()) {
            responder.send(invalidConfig(findings));
            return;
        }
    }
    const auto& image = m_node.configStream().state().image();
    auto basedOn = json["based_on"].get<uint64_t>();
    if (basedOn != image.config.version) {
        responder.send(conflict(image.config, image.logTimeMs));
        return;
    }
    ConfigPublished record {
        .version = basedOn + 1, .basedOn = basedOn, .author = json["author"], .body = encodeSiteConfig(config)
    };
    auto shared = std::make_shared<HttpResponder>(std::move(responder));
    m_node.configStream().appends().submit(
        record,
        [this, basedOn, shared](const absl::Status& status) {
            const auto& image = m_node.configStream().state().image();
            if (status.ok())
                shared->send(jsonResponse({ { "version", basedOn + 1 }, { "based_on", basedOn } }));
            else if (absl::IsFailedPrecondition(status))
                shared->send(conflict(image.config, image.logTimeMs));
            else
                shared->send(notRecorded(status));
        },
        m_node.clock().now() + recordDeadline);
}

static std::optional<bool> flagOf(const HttpRequest& request, const char* name)
{
    auto json = Json::parse(request.body, nullptr, false);
    if (!json.is_object() || json.size() != 1 || !json.contains(name) || !json[name].is_boolean())
        return std::nullopt;
    return json[name].get<bool>();
}

void AdminApi::changeZone(const std::string& zone, const HttpRequest& request, HttpResponder responder)
{
    auto out = flagOf(request, "out");
    const auto& image = m_node.region().state().image();
    bool known = std::ranges::any_of(image.workers, [&](const auto& it) { return it.second.spec.zone == zone; });
    if (auto config = m_node.config(); config && config->findRegionOfZone(zone))
        known = true;
    if (!out || !known) {
        responder.send(out ? problem(404, "unknown-zone", "No such zone", zone)
                           : problem(400, "bad-request", R"(The body must be {"out": true} or {"out": false})"));
        return;
    }
    bool changed = image.zonesOut.contains(zone) != *out;
    auto shared = std::make_shared<HttpResponder>(std::move(responder));
    m_node.region().appends().submit(
        ZoneChanged { .zone = zone, .out = *out },
        [this, zone, out = *out, changed, shared](const absl::Status& status) {
            shared->send(status.ok() ? jsonResponse({ { "zone", zone }, { "out", out }, { "changed", changed },
                             { "position", m_node.region().state().position() } })
                                     : notRecorded(status));
        },
        m_node.clock().now() + recordDeadline);
}

void AdminApi::changeHost(const std::string& host, const HttpRequest& request, HttpResponder responder)
{
    auto draining = flagOf(request, "draining");
    const auto* worker = m_node.region().state().findWorker(host);
    if (!draining || !worker) {
        responder.send(draining
                ? problem(404, "unknown-host", "No such host", host)
                : problem(400, "bad-request", R"(The body must be {"draining": true} or {"draining": false})"));
        return;
    }
    bool changed = worker->draining != *draining;
    auto shared = std::make_shared<HttpResponder>(std::move(responder));
    m_node.region().appends().submit(
        HostChanged { .worker = host, .draining = *draining },
        [this, host, draining = *draining, changed, shared](const absl::Status& status) {
            shared->send(status.ok() ? jsonResponse({ { "host", host }, { "draining", draining },
                             { "changed", changed }, { "position", m_node.region().state().position() } })
                                     : notRecorded(status));
        },
        m_node.clock().now() + recordDeadline);
}

static std::string_view className(PriorityClass priority)
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

void AdminApi::showTerms(HttpResponder responder) const
{
    auto config = m_node.config();
    if (!config) {
        responder.send(problem(503, "not-ready", "No configuration is in force yet"));
        return;
    }
    const auto& image = m_node.region().state().image();
    TermsPolicy policy(*config, image);
    auto clients = Json::array();
    for (const auto& client : config->clients) {
        auto made = policy.renewalsMade(client);
        auto next = policy.nextTerms(client);
        clients.push_back({ { "client", client.name }, { "renewal", made },
            { "renewals_left", client.renewals.size() > made ? client.renewals.size() - made : 0 },
            { "requests_per_second", policy.current(client).requestsPerSecond },
            { "concurrency", policy.current(client).concurrency },
            { "priority_class", className(client.priorityClass) },
            { "on_insufficient_capacity",
                client.onInsufficientCapacity == InsufficientCapacityRule::Refuse ? "refuse" : "largest_that_fits" },
            { "next", next ? termsJson(*next) : Json() } });
    }
    Json capacity { { "slots", policy.totalSlots() }, { "slots_largest_zone_out", policy.slotsWithLargestZoneOut() },
        { "guaranteed", policy.guaranteedConcurrency() } };
    responder.send(jsonResponse({ { "capacity", capacity }, { "clients", clients } }));
}

void AdminApi::renewTerms(const std::string& name, const HttpRequest& request, HttpResponder responder)
{
    auto config = m_node.config();
    const auto* client = config ? config->findClient(name) : nullptr;
    if (!client) {
        responder.send(problem(404, "unknown-client", "No such client", name));
        return;
    }
    auto json = Json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("renewal") || !json["renewal"].is_number_unsigned()) {
        responder.send(problem(400, "bad-request", "renewal is required"));
        return;
    }
    TermsPolicy policy(*config, m_node.region().state().image());
    auto decision = policy.renew(*client, json["renewal"].get<uint64_t>());
    if (auto* refusal = std::get_if<TermsPolicy::Refusal>(&decision)) {
        Json fields { { "renewal", policy.renewalsMade(*client) }, { "requested", termsJson(refusal->requested) },
            { "largest", termsJson(refusal->largest) } };
        fields.update(termsJson(policy.current(*client)));
        responder.send(problemWith(409, refusal->type, refusal->title, fields));
        return;
    }
    const auto& grant = std::get<TermsPolicy::Grant>(decision);
    auto shared = std::make_shared<HttpResponder>(std::move(responder));
    m_node.region().appends().submit(
        grant.record,
        [this, grant, shared, name](const absl::Status& status) {
            if (status.ok()) {
                shared->send(jsonResponse({ { "client", name }, { "renewal", grant.record.renewal },
                    { "requests_per_second", grant.record.requestsPerSecond },
                    { "concurrency", grant.record.concurrency }, { "reduced", grant.reduced } }));
            } else if (absl::IsFailedPrecondition(status)) {
                auto it = m_node.region().state().image().terms.find(name);
                auto made = it == m_node.region().state().image().terms.end() ? 0 : it->second.current.renewal;
                shared->send(problemWith(409, "renewal-conflict", "Another renewal came first or the capacity is taken",
                    { { "renewal", made } }, statusText(status)));
            } else {
                shared->send(notRecorded(status));
            }
        },
        m_node.clock().now() + recordDeadline);
}

void AdminApi::why(const std::string& id, HttpResponder responder) const
{
    const auto& state = m_node.region().state();
    const auto* job = state.findJob(id);
    if (!job) {
        responder.send(problem(404, "unknown-job", "No such job", id));
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

void AdminApi::burn(const HttpRequest& request, HttpResponder responder) const
{
    auto shared = std::make_shared<HttpResponder>(std::move(responder));
    m_node.collectBurn([shared, format = std::string(headerValue(request.query, "format"))](
                           const BurnReport& report) { shared->send(burnResponse(report, format)); });
}

}
