#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibEntry/Problem.h>
#include <LibEntry/QuickPath.h>
#include <fmt/format.h>
#include <utility>

namespace Bergamot {

/// Maximum time to wait for the claim of a request. The wait is shorter when the request's deadline is earlier.
static constexpr Milliseconds maxClaimTime { 2000 };

absl::StatusOr<std::unique_ptr<QuickPath>> QuickPath::create(Options options)
{
    auto limiter = ClientLimiter::create({ .self = options.member, .incarnation = options.incarnation });
    if (!limiter.ok())
        return limiter.status();
    return std::unique_ptr<QuickPath>(new QuickPath(std::move(options), std::move(*limiter)));
}

QuickPath::QuickPath(Options options, ClientLimiter limiter)
    : m_options(std::move(options))
    , m_limiter(std::move(limiter))
{
}

std::shared_ptr<const SiteConfig> QuickPath::config() const
{
    std::lock_guard lock(m_mutex);
    return m_config;
}

std::map<std::string, std::shared_ptr<ServicePath>> QuickPath::paths() const
{
    std::lock_guard lock(m_mutex);
    return m_paths;
}

std::shared_ptr<ServicePath> QuickPath::path(const std::string& service) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_paths.find(service);
    return it == m_paths.end() ? nullptr : it->second;
}

void QuickPath::setConfig(const std::shared_ptr<const SiteConfig>& config)
{
    std::map<std::string, std::shared_ptr<ServicePath>> paths;
    for (const auto& service : config->services) {
        auto existing = path(service.name);
        if (existing && existing->service() == service) {
            paths.emplace(service.name, existing);
            continue;
        }
        auto created = ServicePath::create({ .service = service,
            .member = m_options.member,
            .incarnation = m_options.incarnation,
            .zone = m_options.zone,
            .clock = m_options.clock,
            .engines = m_options.engines,
            .requestIds = m_options.requestIds,
            .retrySharePercent = config->policy.retryBudgetPercent,
            .queueLimit = config->policy.queueLimit,
            .queueTimeout = config->policy.queueTimeout,
            .seed = m_options.seed });
        if (!created.ok()) {
            logError(
                "service_not_configured", { { "service", service.name }, { "error", statusText(created.status()) } });
            continue;
        }
        paths.emplace(service.name, std::move(*created));
        m_options.metrics->admitService(service.name).IgnoreError();
    }
    std::lock_guard lock(m_mutex);
    m_paths = std::move(paths);
    m_config = config;
}

std::optional<Problem> QuickPath::admit(const QuickRequest& request)
{
    auto outcome = withLimiter([&](auto& limiter) { return limiter.admit(request.client, m_options.clock->now()); });
    if (!outcome.ok()) {
        m_options.metrics->recordRefusal(request.service, "quota");
        return Problem { .status = 503,
            .type = "no-authority",
            .title = "The limits of the client are not known",
            .detail = statusText(outcome.status()),
            .retryAfterSeconds = 1 };
    }
    if (*outcome == ClientLimiter::Outcome::Admitted)
        return std::nullopt;
    bool isRateLimited = *outcome == ClientLimiter::Outcome::RateLimited;
    m_options.metrics->recordRefusal(request.service, isRateLimited ? "rate_limit" : "terms");
    return Problem { .status = 429,
        .type = isRateLimited ? "rate-limited" : "concurrency-limited",
        .title = "The client has reached its terms",
        .retryAfterSeconds = 1 };
}

void QuickPath::run(QuickRequest request, Done done)
{
    auto path = this->path(request.service);
    if (!path) {
        done(toResponse(Problem { .status = 404,
            .type = "unknown-service",
            .title = "No such service",
            .detail = request.service,
            .field = "service" }));
        return;
    }
    if (auto problem = admit(request)) {
        done(toResponse(*problem));
        return;
    }
    auto releaseAndRespond = [this, client = request.client, done = std::move(done)](const HttpResponse& response) {
        withLimiter([&](auto& limiter) { limiter.finish(client, m_options.clock->now()).IgnoreError(); });
        done(response);
    };
    if (request.nonIdempotent && !request.idempotencyKey.empty())
        claimThenDispatch(path, std::move(request), std::move(releaseAndRespond));
    else
        dispatch(path, std::move(request), std::move(releaseAndRespond));
}

void QuickPath::dispatch(const std::shared_ptr<ServicePath>& path, QuickRequest request, Done done)
{
    auto sharedRequest = std::make_shared<QuickRequest>(request);
    path->run(std::move(request), [this, sharedRequest, done = std::move(done)](const QuickOutcome& outcome) {
        finish(*sharedRequest, outcome, done);
    });
}

namespace {

    /// Maps a claim result to the response for the caller; nullopt for a granted claim.
    struct ClaimResponse {
        std::optional<HttpResponse> operator()(const ClaimGranted&) const { return std::nullopt; }
        std::optional<HttpResponse> operator()(const ClaimReplay& replay) const
        {
            return HttpResponse { .status = replay.status,
                .contentType = "application/octet-stream",
                .headers = { { "X-Ran", "yes" }, { "X-Replayed", "1" } },
                .body = replay.body };
        }
        std::optional<HttpResponse> operator()(const ClaimUnresolved&) const
        {
            return toResponse(Problem { .status = 409,
                .type = "request-in-progress",
                .title = "A request with this key was accepted and its outcome is not known",
                .ran = RanState::Unknown,
                .retryAfterSeconds = 1 });
        }
        std::optional<HttpResponse> operator()(const ClaimMismatch&) const
        {
            return toResponse(Problem { .status = 422,
                .type = "key-reused",
                .title = "The key was used for a request with another body",
                .field = "Idempotency-Key" });
        }
        std::optional<HttpResponse> operator()(const ClaimRejected& rejected) const
        {
            return toResponse(Problem { .status = 503,
                .type = "log-unavailable",
                .title = "The request could not be recorded",
                .detail = rejected.reason,
                .retryAfterSeconds = 2 });
        }
    };

}

void QuickPath::claimThenDispatch(const std::shared_ptr<ServicePath>& path, QuickRequest request, Done done)
{
    m_options.executor([this, path, request = std::move(request), done = std::move(done)] {
        auto now = m_options.clock->now();
        auto deadline = std::min(request.deadline, now + maxClaimTime);
        // Two clients may choose the same key, so the client is part of the claim key.
        auto key = request.client + "/" + request.idempotencyKey;
        m_options.ledger->claim(
            key, request.bodyDigest, deadline, [this, path, key, request, done](ClaimResult result) {
                if (auto claimResponse = std::visit(ClaimResponse {}, result)) {
                    done(*claimResponse);
                    return;
                }
                auto recordAndRespond = [this, key, done](const HttpResponse& response) {
                    auto ran = headerValue(response.headers, "X-Ran");
                    m_options.executor([this, key, ran = std::string(ran), response] {
                        // When it is unknown whether the request ran, the claim stays unresolved, so that no retry can
                        // run it again.
                        if (ran == "no")
                            m_options.ledger->finish(key, 0, {});
                        else if (ran == "yes")
                            m_options.ledger->finish(key, response.status, response.body);
                    });
                    done(response);
                };
                dispatch(path, request, recordAndRespond);
            });
    });
}

void QuickPath::finish(const QuickRequest& request, const QuickOutcome& outcome, const Done& done)
{
    recordMetrics(request, outcome);
    done(toResponse(outcome));
}

void QuickPath::recordMetrics(const QuickRequest& request, const QuickOutcome& outcome)
{
    auto now = m_options.clock->now();
    auto latency = std::chrono::duration_cast<std::chrono::microseconds>(now - request.arrivedAt);
    bool succeeded = outcome.result == QuickResult::Completed;
    if (outcome.ran == RanState::No)
        m_options.metrics->recordRefusal(request.service,
            outcome.result == QuickResult::DeadlineExceeded ? "deadline"
                : outcome.result == QuickResult::Overloaded ? "overload"
                                                            : "no_capacity");
    else
        m_options.metrics->recordRequest(request.service, outcome.zone, succeeded ? "ok" : "error", latency);
    // Services without an objective have no error budget, so record() returns an error that is ignored.
    m_options.burn->record(request.service, request.client, outcome.zone, succeeded, latency, now).IgnoreError();
}

size_t QuickPath::requestsInProgress() const
{
    size_t sum = 0;
    for (const auto& [name, path] : paths())
        sum += path->requestsInProgress();
    return sum;
}

HttpResponse toResponse(const QuickOutcome& outcome)
{
    auto problem = [&](int status, std::string_view type, std::string_view title) {
        return toResponse(Problem { .status = status,
            .type = type,
            .title = title,
            .detail = outcome.detail,
            .ran = outcome.ran,
            .retryAfterSeconds = outcome.retryAfterSeconds });
    };
    switch (outcome.result) {
    case QuickResult::Completed:
        return { .status = 200,
            .contentType = "application/octet-stream",
            .headers = { { "X-Ran", "yes" } },
            .body = outcome.body };
    case QuickResult::UpstreamError:
        return problem(502, "upstream-error", "The upstream answered with an error");
    case QuickResult::Overloaded:
        return problem(503, "overloaded", "No slot is free");
    case QuickResult::DeadlineExceeded:
        return problem(504, "deadline", "The deadline cannot be met");
    case QuickResult::NoUpstream:
        return problem(503, "no-upstream", "No upstream can take the request");
    case QuickResult::NoAuthority:
        return problem(503, "no-authority", "This entry host has no recent contact with the log or its peers");
    case QuickResult::OutcomeUnknown:
        return problem(504, "outcome-unknown", "The outcome of the request is not known");
    }
    return problem(500, "internal", "Unexpected outcome");
}

}
