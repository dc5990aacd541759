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

/// The quick path of one service: admission, choice of a slot, the call to the worker, and retries. Thread-safe.
/// Must be held by a shared_ptr, because calls in progress keep it alive.
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

    /// Runs the request; `done` is called exactly once, from any thread.
    void run(QuickRequest, Done);

    /// Replaces members and upstreams as of a log position. `routable` excludes workers whose zone is out, that are
    /// leaving, or that do not answer.
    void setView(LogPosition, const std::vector<SlotTable::Member>&, const std::vector<Upstream>&, bool contiguous);
    void setRoutable(const std::function<bool(const WorkerId&)>&);
    void setAuthorityExpiry(Instant);
    void recordPosition(const MemberId&, LogPosition);
    void noteFreeSlots(const MemberId&, int64_t);

    /// Periodic work: loan requests and returns to send, and queued requests whose deadline has passed.
    struct Loans {
        std::vector<LoanRequest> loanRequests {};
        std::vector<LoanReturn> returns {};
    };
    Loans tick();
    std::vector<LoanGrant> lend(const LoanRequest&);
    void receiveLoan(const LoanGrant&);
    void acceptReturn(const LoanReturn&);

    const ServiceConfig& service() const { return m_options.service; }
    int64_t freeSlots() const;

    /// Own slots that are past their settle time.
    int64_t settledSlots() const;
    size_t requestsInProgress() const;

private:
    struct Pending {
        QuickRequest request;
        Done done;
        int32_t tries { 0 };

        /// `Unknown` once any try may have run; a later refusal must then not say that the request did not run.
        RanState ran { RanState::No };
        std::vector<WorkerId> tried {};
    };
    using PendingPtr = std::shared_ptr<Pending>;
    struct Start {
        uint64_t id;
        PendingPtr pending;
        SlotTable::Use use;
        std::string address;
        ZoneId zone;
    };
    struct Refused {
        PendingPtr pending;
        QuickOutcome outcome;
    };
    struct Work {
        std::vector<Start> starts {};
        std::vector<Refused> refusals {};
    };

    ServicePath(Options, SlotTable, Admission, RetryBudget, OutlierDetector);

    void offer(uint64_t id, const PendingPtr&, Work&);
    void startOne(uint64_t id, Instant now, Work&);
    void takeQueued(Work&);
    void perform(Work);
    void call(Start);
    void finished(const Start&, std::chrono::steady_clock::time_point began, const absl::StatusOr<HttpReply>&);
    void noteHealth(const WorkerId&, const QuickOutcome&, std::chrono::microseconds, Instant now);
    bool retryAllowed(const Pending&, const QuickOutcome&, Instant now);
    QuickOutcome judge(const QuickRequest&, const absl::StatusOr<HttpReply>&) const;
    void refuse(uint64_t id, QuickOutcome, Work&);
    static QuickOutcome withHistory(const Pending&, QuickOutcome);
    void updateWeights(Instant now);

    Options m_options;
    mutable std::mutex m_mutex;
    SlotTable m_slots;
    Admission m_admission;
    RetryBudget m_retries;
    OutlierDetector m_outliers;
    std::map<WorkerId, Upstream> m_upstreams;
    std::map<WorkerId, bool> m_routable;
    std::unordered_map<uint64_t, PendingPtr> m_pending;
    std::mt19937_64 m_random;
    uint64_t m_nextId { 1 };
};

}
