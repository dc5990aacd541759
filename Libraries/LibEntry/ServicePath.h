#pragma once

#include <LibConfig/ServiceConfig.h>
#include <LibCore/Clock.h>
#include <LibDecision/Admission.h>
#include <LibDecision/OutlierDetector.h>
#include <LibDecision/RetryBudget.h>
#include <LibDecision/SlotTable.h>
#include <LibEntry/QuickOutcome.h>
#include <LibEntry/QuickRequest.h>
#include <LibHttp/HttpEngine.h>
#include <LibHttp/RequestIds.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <unordered_map>
#include <vector>

namespace Bergamot {

struct PolicyConfig;

/// Processes the quick requests of one service: admission, slot selection, the request to the worker, and retries.
/// Thread-safe. Must be owned by a shared_ptr because requests in progress keep the object alive.
class ServicePath : public std::enable_shared_from_this<ServicePath> {
public:
    struct Options {
        ServiceConfig service {};
        MemberId member {};
        uint64_t incarnation { 0 };
        ZoneId zone {};
        const Clock* clock { nullptr };
        std::vector<std::shared_ptr<HttpEngine>> engines {};
        std::shared_ptr<RequestIds> requestIds {};
        int64_t retrySharePercent { 10 };
        int64_t queueLimit { 256 };
        Milliseconds queueTimeout { 50 };
        uint64_t seed { 1 };
    };

    struct Upstream {
        WorkerId worker {};
        ZoneId zone {};
        std::string address {};

        bool operator==(const Upstream&) const = default;
    };

    using Done = std::function<void(const QuickOutcome&)>;

    static absl::StatusOr<std::shared_ptr<ServicePath>> create(Options);

    /// Processes a request. `done` is called exactly once, from any thread.
    void run(QuickRequest, Done);

    /// Sets the members and upstreams as of a log position. `isContiguous` is false when earlier views were skipped.
    void setView(LogPosition, const std::vector<SlotTable::Member>&, const std::vector<Upstream>&, bool isContiguous);

    /// Sets which workers may receive requests. Excluded are workers that are leaving or unreachable, or whose zone is
    /// out.
    void setRoutable(const std::function<bool(const WorkerId&)>&);
    void setAuthorityExpiry(Instant);
    void recordPosition(const MemberId&, LogPosition);
    void recordPeerFreeSlots(const MemberId&, int64_t);

    /// Loan requests and loan returns to send to other members.
    struct LoanMessages {
        std::vector<LoanRequest> loanRequests {};
        std::vector<LoanReturn> returns {};
    };

    /// Updates outlier ejections, starts queued requests, rejects queued requests whose deadline has passed, and
    /// returns the loan messages to send.
    LoanMessages tick();
    std::vector<LoanGrant> lend(const LoanRequest&);
    void applyGrant(const LoanGrant&);
    void acceptReturn(const LoanReturn&);

    const ServiceConfig& service() const { return m_options.service; }
    int64_t freeSlots() const;

    /// Number of own slots whose settle time has passed.
    int64_t settledSlots() const;
    size_t requestsInProgress() const;

private:
    struct PendingRequest {
        QuickRequest request;
        Done done;
        int32_t tries { 0 };

        /// `Unknown` after a try that may have run. A later rejection must then not report that the request did not
        /// run.
        RanState ran { RanState::No };
        std::vector<WorkerId> triedWorkers {};
    };
    using PendingRequestPtr = std::shared_ptr<PendingRequest>;
    struct Attempt {
        uint64_t id;
        PendingRequestPtr pending;
        SlotTable::Use use;
        std::string address;
        ZoneId zone;
    };
    struct Rejection {
        PendingRequestPtr pending;
        QuickOutcome outcome;
    };

    /// Attempts to send and rejections to report. perform() handles them after m_mutex has been released.
    struct Actions {
        std::vector<Attempt> attempts {};
        std::vector<Rejection> rejections {};
    };

    ServicePath(Options, SlotTable, Admission, RetryBudget, OutlierDetector);

    void offer(uint64_t id, const PendingRequestPtr&, Actions&);
    void startAttempt(uint64_t id, Instant now, Actions&);
    void startQueuedRequests(Actions&);
    void perform(Actions);
    void sendAttempt(Attempt);
    void handleReply(const Attempt&, std::chrono::steady_clock::time_point sentAt, const absl::StatusOr<HttpReply>&);
    void recordHealth(const WorkerId&, const QuickOutcome&, std::chrono::microseconds, Instant now);
    bool isRetryAllowed(const PendingRequest&, const QuickOutcome&, Instant now);
    QuickOutcome classifyReply(const QuickRequest&, const absl::StatusOr<HttpReply>&) const;
    void reject(uint64_t id, QuickOutcome, Actions&);
    static QuickOutcome mergeEarlierTries(const PendingRequest&, QuickOutcome);
    void updateWeights(Instant now);

    Options m_options;
    mutable std::mutex m_mutex;
    SlotTable m_slots;
    Admission m_admission;
    RetryBudget m_retries;
    OutlierDetector m_outliers;
    std::map<WorkerId, Upstream> m_upstreams;
    std::map<WorkerId, bool> m_routable;
    std::unordered_map<uint64_t, PendingRequestPtr> m_pending;
    std::mt19937_64 m_random;
    uint64_t m_nextId { 1 };
};

}
