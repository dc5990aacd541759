#pragma once

#include <LibConfig/SiteConfig.h>
#include <LibCore/Clock.h>
#include <LibDecision/ClientLimiter.h>
#include <LibEntry/Executor.h>
#include <LibEntry/Problem.h>
#include <LibEntry/RequestLedger.h>
#include <LibEntry/ServicePath.h>
#include <LibReport/BurnTracker.h>
#include <LibReport/Metrics.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Bergamot {

/// Processes the quick requests of all services: enforces client limits, claims non-idempotent requests and passes each
/// request to the ServicePath of its service. run() and config() may be called from any thread, the other methods from
/// the control thread.
class QuickPath {
public:
    struct Options {
        MemberId member {};
        uint64_t incarnation { 0 };
        ZoneId zone {};
        const Clock* clock { nullptr };
        Executor executor {};
        std::vector<std::shared_ptr<HttpEngine>> engines {};
        std::shared_ptr<RequestIds> requestIds {};
        RequestLedger* ledger { nullptr };
        Metrics* metrics { nullptr };
        BurnTracker* burn { nullptr };
        uint64_t seed { 1 };
    };

    using Done = std::function<void(const HttpResponse&)>;

    static absl::StatusOr<std::unique_ptr<QuickPath>> create(Options);

    /// Processes a request. `done` is called exactly once, from any thread.
    void run(QuickRequest, Done);

    /// Creates the paths of new services and removes those of deleted services. A service whose configuration has
    /// changed gets a new path.
    void setConfig(const std::shared_ptr<const SiteConfig>&);
    std::shared_ptr<const SiteConfig> config() const;

    std::map<std::string, std::shared_ptr<ServicePath>> paths() const;
    std::shared_ptr<ServicePath> path(const std::string& service) const;

    /// Calls the function with the client limiter while holding the limiter's mutex.
    template <typename Function> auto withLimiter(Function function)
    {
        std::lock_guard lock(m_limiterMutex);
        return function(m_limiter);
    }

    size_t requestsInProgress() const;

private:
    QuickPath(Options, ClientLimiter);

    std::optional<Problem> admit(const QuickRequest&);
    void dispatch(const std::shared_ptr<ServicePath>&, QuickRequest, Done);
    void claimThenDispatch(const std::shared_ptr<ServicePath>&, QuickRequest, Done);
    void finish(const QuickRequest&, const QuickOutcome&, const Done&);
    void recordMetrics(const QuickRequest&, const QuickOutcome&);

    Options m_options;
    mutable std::mutex m_mutex;
    std::shared_ptr<const SiteConfig> m_config;
    std::map<std::string, std::shared_ptr<ServicePath>> m_paths;
    std::mutex m_limiterMutex;
    ClientLimiter m_limiter;
};

HttpResponse toResponse(const QuickOutcome&);

}
