#include <LibAdmin/JsonFields.h>
#include <LibAdmin/Publisher.h>
#include <LibAdmin/SiteInput.h>
#include <LibConfig/ConfigDiff.h>
#include <LibConfig/SiteConfigCodec.h>
#include <LibConfig/TermsCapacity.h>
#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace Bergamot {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds pollInterval { 500 };
    /// A host that does not reply must not use up the time that is left to poll the other hosts.
    constexpr Milliseconds pollTimeout { 2000 };
    /// An append whose reply was lost appears in the log within the client timeout of the daemon's append, or not at
    /// all.
    constexpr Milliseconds lostReplyTimeout { 10'000 };

    ZoneCapacities zoneCapacities(const Json& state)
    {
        std::map<std::string, int64_t> workers;
        for (const auto& worker : listField(state, "workers")) {
            if (textField(worker, "state") != "gone")
                ++workers[textField(worker, "zone")];
        }
        ZoneCapacities capacities;
        for (const auto& [zone, n] : workers)
            capacities.push_back({ .zone = zone, .workers = n });
        return capacities;
    }

    TermsInForce termsInForce(const Json& terms)
    {
        TermsInForce inForce;
        for (const auto& client : listField(terms, "clients")) {
            if (numberField(client, "renewal") > 0)
                inForce[textField(client, "client")]
                    = { .requestsPerSecond = numberField(client, "requests_per_second"),
                          .concurrency = numberField(client, "concurrency") };
        }
        return inForce;
    }

}

Publisher::Publisher(CommandContext& context, SiteConfig config, Options options)
    : m_context(context)
    , m_config(std::move(config))
    , m_options(std::move(options))
{
}

ExitStatus Publisher::publish()
{
    auto reply = m_context.session.get("/admin/config");
    if (auto* failure = std::get_if<AdminFailure>(&reply))
        return m_context.output.fail(*failure);
    const auto& inForce = std::get<Json>(reply);
    if (numberField(inForce, "version") != m_options.basedOn)
        return reportConflict(inForce);
    if (auto findings = capacityFindings(); !findings.empty())
        return m_context.output.reportFindings(findings);
    auto before = siteFromReply(inForce);
    // A body that cannot be decoded was published by a newer release, and the difference to it cannot be computed.
    if (std::holds_alternative<Findings>(before))
        return m_context.output.fail(ExitStatus::Failed,
            fmt::format("version {} in force has keys that this program does not know", m_options.basedOn),
            "use the bergamotctl of the release that published it");
    const auto& site = std::get<SiteConfig>(before);
    if (m_options.basedOn > 0 && site == m_config) {
        m_context.output.writeResult({ { "version", m_options.basedOn }, { "changes", Json::array() } },
            fmt::format("Version {} holds the same configuration; nothing was published.\n", m_options.basedOn));
        return ExitStatus::Ok;
    }
    return post(site);
}

Findings Publisher::capacityFindings()
{
    auto state = m_context.session.get("/admin/state");
    auto terms = m_context.session.get("/admin/terms");
    // The daemon makes the same check. Checking here only reports the findings before the request is sent.
    if (!std::holds_alternative<Json>(state) || !std::holds_alternative<Json>(terms))
        return {};
    return checkTermsFit(m_config, zoneCapacities(std::get<Json>(state)), termsInForce(std::get<Json>(terms)));
}

ExitStatus Publisher::post(const SiteConfig& before)
{
    Json request { { "based_on", m_options.basedOn }, { "author", m_options.author },
        { "body", parseJson(encodeSiteConfig(m_config)) } };
    auto reply = m_context.session.post("/admin/config", request, false);
    auto* failure = std::get_if<AdminFailure>(&reply);
    if (!failure)
        return reportPublished(before);
    if (failure->type == "outcome-unknown")
        return resolveLostReply(before);
    if (failure->type == "config-conflict")
        return reportConflict(failure->problem);
    if (failure->type == "config-invalid") {
        Findings findings;
        for (const auto& it : listField(failure->problem, "findings"))
            findings.push_back({ .key = textField(it, "key"), .message = textField(it, "message") });
        return m_context.output.reportFindings(findings);
    }
    return m_context.output.fail(*failure);
}

ExitStatus Publisher::resolveLostReply(const SiteConfig& before)
{
    const auto deadline = m_context.environment.clock.now() + lostReplyTimeout;
    while (m_context.environment.clock.now() < deadline) {
        auto reply = m_context.session.get(fmt::format("/admin/config?version={}", version()));
        if (auto* published = std::get_if<Json>(&reply)) {
            auto site = siteFromReply(*published);
            auto isOwn = textField(*published, "author") == m_options.author && std::holds_alternative<SiteConfig>(site)
                && std::get<SiteConfig>(site) == m_config;
            return isOwn ? reportPublished(before) : reportConflict(*published);
        }
        m_context.progress.reportWaitingFor(fmt::format("version {}, whose reply was lost", version()));
        m_context.environment.sleep(pollInterval);
    }
    return m_context.output.fail(ExitStatus::Failed,
        fmt::format("the reply was lost and version {} is not in the log; it may still be appended", version()),
        fmt::format(
            "check with `bergamotctl config history`; publishing again with --based-on {} is safe, because only one "
            "version {} can exist",
            m_options.basedOn, version()));
}

ExitStatus Publisher::reportPublished(const SiteConfig& before)
{
    auto changes = diff(before, m_config);
    Json result { { "version", version() }, { "based_on", m_options.basedOn }, { "changes", changesToJson(changes) } };
    auto text = fmt::format("Published version {}:\n{}", version(), describeChanges(changes));
    if (!m_options.wait) {
        m_context.output.writeResult(result, text);
        return ExitStatus::Ok;
    }
    if (!m_context.output.isJson())
        m_context.output.writeResult(result, text);
    return waitForHosts(std::move(result));
}

ExitStatus Publisher::reportConflict(const Json& inForce)
{
    const auto versionInForce = numberField(inForce, "version");
    Json detail { { "version_in_force", versionInForce }, { "author", textField(inForce, "author") },
        { "based_on", m_options.basedOn } };
    std::string text;
    auto siteInForce = siteFromReply(inForce);
    auto reply = m_context.session.get(fmt::format("/admin/config?version={}", m_options.basedOn));
    if (auto* site = std::get_if<SiteConfig>(&siteInForce)) {
        auto* based = std::get_if<Json>(&reply);
        auto baseSite = based ? siteFromReply(*based) : SiteConfigResult(Findings {});
        if (auto* ancestor = std::get_if<SiteConfig>(&baseSite); ancestor && m_options.basedOn < versionInForce) {
            auto changes = diff(*ancestor, *site);
            detail["other_changes"] = changesToJson(changes);
            text += fmt::format("Changes from version {} to version {} by {}:\n{}", m_options.basedOn, versionInForce,
                textField(inForce, "author"), describeChanges(changes));
        }
        auto changes = diff(*site, m_config);
        detail["own_changes"] = changesToJson(changes);
        text += fmt::format(
            "Your files would change version {} as follows:\n{}", versionInForce, describeChanges(changes));
    }
    m_context.output.writeErrorDetail(detail, text);
    return m_context.output.fail({ .status = ExitStatus::Conflict,
        .type = "config-conflict",
        .message
        = fmt::format("nothing was published: version {} by {} is in force, but your files are based on version {}",
            versionInForce, textField(inForce, "author"), m_options.basedOn),
        .next
        = fmt::format("put the other changes into your files, then publish with --based-on {}", versionInForce) });
}

ExitStatus Publisher::waitForHosts(Json result)
{
    const auto deadline = m_context.environment.clock.now() + m_options.waitTimeout;
    while (true) {
        auto versions = versionsOfLiveMembers();
        std::vector<std::string> lateMembers;
        auto hosts = Json::array();
        for (const auto& [member, reported] : versions) {
            hosts.push_back({ { "member", member }, { "config_version", reported } });
            if (reported < version())
                lateMembers.push_back(member);
        }
        auto hasTimedOut = m_context.environment.clock.now() >= deadline;
        if ((!versions.empty() && lateMembers.empty()) || hasTimedOut) {
            result["hosts"] = hosts;
            result["late"] = lateMembers;
            m_context.output.writeResult(result,
                lateMembers.empty() && !versions.empty() ? fmt::format("In force on {} entry hosts.\n", versions.size())
                                                         : std::string {});
            if (versions.empty())
                return m_context.output.fail(ExitStatus::Unreachable, "no entry host reports its version",
                    "the configuration is published; check with: bergamotctl status");
            if (lateMembers.empty())
                return ExitStatus::Ok;
            return m_context.output.fail(ExitStatus::Failed,
                fmt::format(
                    "version {} is published, but not in force on: {}", version(), fmt::join(lateMembers, ", ")),
                "do not publish again; see docs/operators/configuration.md, \"A host does not take the version\"");
        }
        m_context.progress.reportWaitingFor(versions.empty()
                ? "a reply of an entry host"
                : fmt::format("version {} on {}", version(), fmt::join(lateMembers, ", ")));
        m_context.environment.sleep(pollInterval);
    }
}

std::map<std::string, int64_t> Publisher::versionsOfLiveMembers()
{
    std::map<std::string, int64_t> versions;
    for (const auto& status : m_context.session.getFromAll("/admin/status", pollTimeout)) {
        for (const auto& member : listField(status, "members")) {
            if (!flagField(member, "live"))
                continue;
            auto& reported = versions[textField(member, "member")];
            reported = std::max(reported, numberField(member, "config_version"));
        }
    }
    return versions;
}

}
