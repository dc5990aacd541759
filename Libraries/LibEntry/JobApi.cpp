#include <LibCore/StatusText.h>
#include <LibEntry/EntryNode.h>
#include <LibEntry/JobApi.h>
#include <LibEntry/JobRequest.h>
#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace Bergamot {

using Json = nlohmann::json;

static constexpr Milliseconds appendTimeout { 3000 };
static constexpr size_t defaultListLimit = 100;
static constexpr size_t maxListLimit = 1000;

static std::string dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

static Json toJson(const JobState& job, const ClusterState& state)
{
    std::string_view outcome = job.hasEnded() ? toString(job.phase) : std::string_view {};
    const auto* worker = state.findWorker(job.worker);
    return {
        { "job", job.spec.job },
        { "kind", job.spec.kind },
        { "client", job.spec.client },
        { "team", job.spec.team },
        { "state", job.hasEnded() ? std::string_view("ended") : toString(job.phase) },
        { "outcome", outcome },
        { "reason", job.phase == JobPhase::Failed ? job.result : "" },
        { "result", job.phase == JobPhase::Completed ? job.result : "" },
        { "urgent", job.spec.urgent },
        { "run_ms", job.spec.runMs },
        { "attempts", job.attempt },
        { "worker", job.worker },
        { "zone", worker ? worker->spec.zone : "" },
        { "checkpoint", job.checkpoint },
        { "submitted_age_ms", state.image().logTimeMs - job.submittedAtMs },
        { "size",
            { { "cpu_millis", job.spec.size.cpuMillis }, { "memory_mb", job.spec.size.memoryMb },
                { "accelerators", job.spec.size.accelerators } } },
    };
}

HttpResponse JobApi::jobResponse(const JobState& job, int status) const
{
    return { .status = status, .body = dump(toJson(job, m_node.region().state())) };
}

static HttpResponse unknownJobResponse(const std::string& id)
{
    return toResponse(Problem { .status = 404, .type = "unknown-job", .title = "No such job", .detail = id });
}

static HttpResponse methodNotAllowedResponse()
{
    return toResponse(Problem { .status = 405, .type = "method-not-allowed", .title = "The method is not allowed" });
}

void JobApi::handle(const HttpRequest& request, HttpResponder responder)
{
    auto segments = request.segments();
    if (segments.size() == 2) {
        if (request.method == "POST")
            submit(request, std::move(responder));
        else if (request.method == "GET")
            list(request, std::move(responder));
        else
            responder.send(methodNotAllowedResponse());
        return;
    }
    if (segments.size() != 3)
        responder.send(unknownJobResponse(request.path));
    else if (request.method == "GET")
        show(segments[2], std::move(responder));
    else if (request.method == "DELETE")
        cancel(segments[2], std::move(responder));
    else
        responder.send(methodNotAllowedResponse());
}

static bool fitsAnyWorker(const Resources& size, const ClusterState& state)
{
    const auto& workers = state.image().workers;
    return workers.empty()
        || std::ranges::any_of(workers, [&](const auto& it) { return size.fitsIn(it.second.spec.capacity); });
}

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

void JobApi::submit(const HttpRequest& request, HttpResponder responder)
{
    auto config = m_node.config();
    if (!config || m_node.isShuttingDown()) {
        responder.send(toResponse(Problem { .status = 503,
            .type = "not-ready",
            .title = "This entry host takes no jobs now",
            .retryAfterSeconds = 1 }));
        return;
    }
    if (!m_node.isConfigConfirmed()) {
        responder.send(unconfirmedConfigResponse());
        return;
    }
    auto parsed = parseJobRequest(request.body, *config);
    if (auto* problem = std::get_if<Problem>(&parsed)) {
        responder.send(toResponse(*problem));
        return;
    }
    auto job = std::get<JobSubmitted>(std::move(parsed));
    auto& region = m_node.region();
    if (const auto* existing = job.requestKey.empty() ? nullptr : region.state().findJobByKey(job.requestKey)) {
        responder.send(jobResponse(*existing, 200));
        return;
    }
    if (!fitsAnyWorker(job.size, region.state())) {
        responder.send(toResponse(Problem { .status = 422,
            .type = "too-large-for-any-worker",
            .title = "No worker has this size",
            .field = "cpu_millis, memory_mb, accelerators" }));
        return;
    }
    if (region.appends().isStalled(m_node.clock().now())) {
        responder.send(appendFailedResponse(absl::UnavailableError("the log does not answer")));
        return;
    }
    const auto& options = m_node.options();
    job.job = fmt::format("{}.{}.{}", options.settings.member, options.incarnation, ++m_lastJobNumber);
    auto sharedResponder = std::make_shared<HttpResponder>(std::move(responder));
    region.appends().submit(
        job,
        [this, id = job.job, key = job.requestKey, sharedResponder](const absl::Status& status) {
            const auto& state = m_node.region().state();
            // FailedPrecondition: a submission with the same key was applied first. Both callers get its job.
            const auto* job = status.ok() ? state.findJob(id) : nullptr;
            if (absl::IsFailedPrecondition(status) && !key.empty())
                job = state.findJobByKey(key);
            sharedResponder->send(job ? jobResponse(*job, 202) : appendFailedResponse(status));
        },
        m_node.clock().now() + appendTimeout);
}

void JobApi::show(const std::string& id, HttpResponder responder) const
{
    const auto* job = m_node.region().state().findJob(id);
    responder.send(job ? jobResponse(*job, 200) : unknownJobResponse(id));
}

static size_t parseLimit(const HttpRequest& request)
{
    auto text = headerValue(request.query, "limit");
    size_t limit = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), limit);
    if (ec != std::errc {} || limit == 0)
        return defaultListLimit;
    return std::min(limit, maxListLimit);
}

void JobApi::list(const HttpRequest& request, HttpResponder responder) const
{
    auto stateFilter = headerValue(request.query, "state");
    auto kindFilter = headerValue(request.query, "kind");
    auto teamFilter = headerValue(request.query, "team");
    auto limit = parseLimit(request);
    const auto& state = m_node.region().state();
    std::vector<const JobState*> jobs;
    for (const auto& [id, job] : state.image().jobs) {
        auto phase = job.hasEnded() ? std::string_view("ended") : toString(job.phase);
        bool isMatch = (stateFilter.empty() || stateFilter == phase)
            && (kindFilter.empty() || kindFilter == job.spec.kind)
            && (teamFilter.empty() || teamFilter == job.spec.team);
        if (isMatch)
            jobs.push_back(&job);
    }
    std::ranges::sort(jobs, std::ranges::greater {}, &JobState::submittedAtMs);
    Json json { { "jobs", Json::array() }, { "more", jobs.size() > limit } };
    for (size_t i = 0; i < std::min(limit, jobs.size()); ++i)
        json["jobs"].push_back(toJson(*jobs[i], state));
    responder.send({ .body = dump(json) });
}

void JobApi::cancel(const std::string& id, HttpResponder responder)
{
    const auto* job = m_node.region().state().findJob(id);
    if (!job || job->hasEnded()) {
        responder.send(job ? jobResponse(*job, 200) : unknownJobResponse(id));
        return;
    }
    auto sharedResponder = std::make_shared<HttpResponder>(std::move(responder));
    m_node.region().appends().submit(
        JobCancelled { .job = id },
        [this, id, sharedResponder](const absl::Status& status) {
            const auto* job = m_node.region().state().findJob(id);
            bool isOutcomeKnown = status.ok() || absl::IsFailedPrecondition(status);
            sharedResponder->send(isOutcomeKnown && job ? jobResponse(*job, 200) : appendFailedResponse(status));
        },
        m_node.clock().now() + appendTimeout);
}

}
