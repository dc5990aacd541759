#include <LibConfig/SiteConfigCodec.h>
#include <LibConfig/TermsCapacity.h>
#include <LibCore/StatusText.h>
#include <LibEntry/AdminApi.h>
#include <LibEntry/EntryNode.h>
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
        status(std::move(responder));
    else if (matches("GET", "state", 2))
        state(std::move(responder));
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

static Json zonesJson(const StateImage& image)
{
    struct Count {
        int64_t workers { 0 };
        int64_t usable { 0 };
    };
    std::map<ZoneId, Count> zones;
    for (const auto& zone : image.zonesOut)
        zones[zone];
    for (const auto& [id, worker] : image.workers) {
        auto& count = zones[worker.spec.zone];
        ++count.workers;
        bool usable = !worker.spec.leaving && !worker.spec.gone && !worker.draining && !worker.quarantined
            && !image.zonesOut.contains(worker.spec.zone);
        count.usable += usable ? 1 : 0;
    }
    auto json = Json::array();
    for (const auto& [zone, count] : zones) {
        json.push_back({ { "zone", zone }, { "out", image.zonesOut.contains(zone) }, { "workers", count.workers },
            { "usable", count.usable } });
    }
    return json;
}

static Json workersSummary(const StateImage& image, size_t unreachable)
{
    int64_t usable = 0;
    int64_t leaving = 0;
    int64_t draining = 0;
    int64_t quarantined = 0;
    for (const auto& [id, worker] : image.workers) {
        leaving += worker.spec.leaving || worker.spec.gone ? 1 : 0;
        draining += worker.draining ? 1 : 0;
        quarantined += worker.quarantined ? 1 : 0;
        bool isUsable = !worker.spec.leaving && !worker.spec.gone && !worker.draining && !worker.quarantined
            && !image.zonesOut.contains(worker.spec.zone);
        usable += isUsable ? 1 : 0;
    }
    return { { "total", image.workers.size() }, { "usable", usable }, { "leaving", leaving }, { "draining", draining },
        { "quarantined", quarantined }, { "unreachable", unreachable } };
}

static Json jobsSummary(const StateImage& image)
{
    std::map<JobPhase, int64_t> counts;
    for (const auto& [id, job] : image.jobs)
        ++counts[job.phase];
    return { { "pending", counts[JobPhase::Pending] }, { "placed", counts[JobPhase::Placed] },
        { "revoking", counts[JobPhase::Revoking] } };
}

static Json membersJson(EntryNode& node, Instant now)
{
    auto members = Json::array();
    const auto& settings = node.options().settings;
    for (const auto& [id, member] : node.region().state().image().members) {
        Json json { { "member", id }, { "region", settings.region }, { "zone", member.spec.zone },
            { "caller_address", member.spec.callerAddress }, { "voter", member.voter },
            { "live", node.membership().authority().isReachable(id, now) } };
        auto heard = node.membership().heartbeats().find(id);
        if (id == settings.member) {
            json["config_version"] = node.configInForce().version;
            json["position"] = node.region().state().position();
            json["log_age_ms"] = (now - node.membership().authority().lastLogRead()).count();
            json["heartbeat_age_ms"] = 0;
        } else if (heard != node.membership().heartbeats().end()) {
            json["config_version"] = heard->second.configVersion;
            json["position"] = heard->second.position;
            json["log_age_ms"] = heard->second.logAgeMs;
            auto it = node.membership().authority().peers().find(id);
            json["heartbeat_age_ms"]
                = it == node.membership().authority().peers().end() ? -1 : (now - it->second.confirmedAt).count();
        }
        members.push_back(std::move(json));
    }
    return members;
}

static Json problemsOf(EntryNode& node, Instant now)
{
    auto problems = Json::array();
    const auto& image = node.region().state().image();
    if (!node.membership().authority().hasFreshLog(now))
        problems.push_back("this entry host has not read the log for 3 s");
    if (node.region().appends().isStalled(now))
        problems.push_back("the log does not take appends");
    if (!node.config())
        problems.push_back("no configuration is in force");
    for (const auto& [id, worker] : image.workers) {
        if (worker.draining && !worker.jobs.empty())
            problems.push_back(fmt::format("host {} is draining and still runs {} tasks", id, worker.jobs.size()));
        if (worker.quarantined)
            problems.push_back(fmt::format("host {} is quarantined because tasks fail on it", id));
    }
    for (const auto& id : node.dispatcher().unreachableWorkers(now))
        problems.push_back(fmt::format("host {} does not answer", id));
    return problems;
}

void AdminApi::status(HttpResponder responder) const
{
    auto now = m_node.clock().now();
    const auto& image = m_node.region().state().image();
    const auto& settings = m_node.options().settings;
    const auto& config = m_node.configInForce();
    auto unreachable = m_node.dispatcher().unreachableWorkers(now).size();
    Json json {
        { "member", settings.member },
        { "region", settings.region },
        { "zone", settings.zone },
        { "incarnation", m_node.options().incarnation },
        { "uptime_ms", (now - m_started).count() },
        { "ready", m_node.isReady(now) },
        { "authority", m_node.membership().mayRenew(now) },
        { "leader",
            { { "member", image.leader.member }, { "epoch", image.leader.epoch },
                { "keepalive_age_ms", image.logTimeMs - image.leader.lastRecordAtMs } } },
        { "log",
            { { "reachable", m_node.membership().authority().hasFreshLog(now) },
                { "position", m_node.region().state().position() },
                { "age_ms", (now - m_node.membership().authority().lastLogRead()).count() } } },
        { "config",
            { { "version", config.version }, { "author", config.author },
                { "time_ms", m_node.configStream().state().image().logTimeMs } } },
        { "members", membersJson(m_node, now) },
        { "zones", zonesJson(image) },
        { "workers", workersSummary(image, unreachable) },
        { "jobs", jobsSummary(image) },
        { "problems", problemsOf(m_node, now) },
    };
    responder.send(jsonResponse(json));
}

static Json sizeJson(const Resources& size)
{
    return { { "cpu_millis", size.cpuMillis }, { "memory_mb", size.memoryMb }, { "accelerators", size.accelerators } };
}

void AdminApi::state(HttpResponder responder) const
{
    auto now = m_node.clock().now();
    const auto& image = m_node.region().state().image();
    auto unreachable = m_node.dispatcher().unreachableWorkers(now);
    auto workers = Json::array();
    for (const auto& [id, worker] : image.workers) {
        std::string_view state = worker.spec.gone ? "gone" : worker.spec.leaving ? "leaving" : "live";
        workers.push_back({ { "worker", id }, { "zone", worker.spec.zone }, { "rack", worker.spec.rack },
            { "address", worker.spec.address }, { "state", state }, { "draining", worker.draining },
            { "quarantined", worker.quarantined },
            { "reachable", std::ranges::find(unreachable, id) == unreachable.end() }, { "tasks", worker.jobs.size() },
            { "capacity", sizeJson(worker.spec.capacity) }, { "committed", sizeJson(worker.committed) } });
    }
    responder.send(jsonResponse(
        { { "position", m_node.region().state().position() }, { "zones", zonesJson(image) }, { "workers", workers } }));
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
    if (wanted.empty() || wanted == std::to_string(m_node.configInForce().version)) {
        responder.send(jsonResponse(configJson(m_node.configInForce(), image.logTimeMs)));
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
