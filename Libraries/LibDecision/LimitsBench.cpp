#include <LibCore/Verify.h>
#include <LibDecision/Admission.h>
#include <LibDecision/ClientLimiter.h>
#include <LibDecision/LimitsBench.h>
#include <LibDecision/OutlierDetector.h>
#include <LibDecision/RetryBudget.h>
#include <LibDecision/SlotTable.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <random>

namespace Bergamot {

namespace {

    using std::chrono::microseconds;
    using Random = std::mt19937_64;

    Instant at(int64_t ms) { return epochInstant + Milliseconds(ms); }

    // The distributions of the standard library differ between implementations; these functions do not.
    double uniform(Random& random) { return static_cast<double>(random() >> 11U) * 0x1.0p-53; }
    double exponential(Random& random, double mean) { return -mean * std::log(1.0 - uniform(random)); }
    size_t randomBelow(Random& random, size_t n) { return static_cast<size_t>(random() % n); }

    enum class Better {
        Lower,
        Higher,
    };

    struct ResultLine {
        std::string workload {};
        std::string_view unit {};
        double baseline { 0 };
        double figure { 0 };
        /// Empty for a figure without a target, such as that of an ablation.
        std::optional<double> target {};
        Better better { Better::Higher };
    };

    void printResult(std::ostream& os, uint64_t seed, const ResultLine& line)
    {
        const bool reached = line.target
            && (line.better == Better::Higher ? line.figure >= *line.target : line.figure <= *line.target);
        os << fmt::format("{{\"workload\":\"{}\",\"seed\":{},\"unit\":\"{}\",\"baseline\":{:.4f},\"figure\":{:.4f},"
                          "\"target\":{},\"reached\":{}}}\n",
            line.workload, seed, line.unit, line.baseline, line.figure,
            line.target ? fmt::format("{:.4f}", *line.target) : "null",
            line.target ? fmt::format("{}", reached) : "null");
    }

    double percentile(std::vector<int64_t> values, double share)
    {
        if (values.empty())
            return 0;
        auto it = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), it, values.end());
        return static_cast<double>(*it);
    }

    // Slot table: 9 members, 48 workers with 8 slots each in 3 zones, and a message delay of 2 ms between members. The
    // demand of each member is set by the workload.
    class SlotModel {
    public:
        SlotModel(uint64_t seed, SlotTable::Options options, bool lendsSlots)
            : m_random(seed)
            , m_lendsSlots(lendsSlots)
        {
            SlotTable::View view { .position = 1 };
            for (size_t n = 0; n < memberCount; ++n)
                view.members.push_back({ .id = fmt::format("e{}", n), .incarnation = seed, .zone = zoneOf(n) });
            for (size_t n = 0; n < workerCount; ++n)
                view.workers.push_back({ .id = fmt::format("s{}w{}", seed, n), .zone = zoneOf(n), .slots = 8 });
            m_running.resize(memberCount);
            for (const auto& member : view.members) {
                options.self = member.id;
                options.incarnation = member.incarnation;
                options.zone = member.zone;
                auto table = SlotTable::create(options);
                VERIFY(table.ok());
                table->setAuthorityExpiry(Instant::max());
                VERIFY(table->applyView(view, at(0)).ok());
                for (const auto& other : view.members)
                    VERIFY(table->recordPosition(other.id, 1, at(0)).ok());
                m_tables.push_back(std::move(*table));
            }
            m_now = m_tables[0].settleTime().count() + 1;
            m_demand.resize(memberCount, 0);
        }

        void setDemand(size_t member, int64_t demand) { m_demand[member] = demand; }
        int64_t inUse(size_t member) const { return m_tables[member].inUse(); }
        int64_t served() const { return m_served; }
        int64_t totalDemand() const { return m_totalDemand; }
        int64_t messages() const { return m_loanMessages; }

        void step()
        {
            ++m_now;
            deliver();
            for (size_t n = 0; n < memberCount; ++n)
                serve(n);
            if (m_now % 1000 == 0)
                sendHeartbeats();
        }

    private:
        static constexpr size_t memberCount = 9;
        static constexpr size_t workerCount = 48;
        static constexpr int64_t messageDelayMs = 2;
        static constexpr double meanServiceMs = 20;

        static ZoneId zoneOf(size_t n) { return fmt::format("z{}", n % 3); }
        static size_t indexOf(const MemberId& id) { return static_cast<size_t>(id[1] - '0'); }

        void deliver()
        {
            while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
                auto handler = std::move(m_messages.begin()->second);
                m_messages.erase(m_messages.begin());
                handler();
            }
        }

        void send(std::function<void()> handler) { m_messages.emplace(m_now + messageDelayMs, std::move(handler)); }

        void sendHeartbeats()
        {
            for (size_t from = 0; from < memberCount; ++from) {
                const auto freeSlots = m_tables[from].lendable();
                for (size_t to = 0; to < memberCount; ++to) {
                    if (to != from)
                        send([=, this] {
                            VERIFY(
                                m_tables[to].recordPeerFreeSlots(fmt::format("e{}", from), freeSlots, at(m_now)).ok());
                        });
                }
            }
        }

        void serve(size_t n)
        {
            auto& table = m_tables[n];
            std::erase_if(m_running[n], [&](const auto& running) {
                return running.second <= m_now && table.release(running.first, at(m_now)).ok();
            });
            auto waiting = std::max<int64_t>(0, m_demand[n] - table.inUse());
            for (; waiting > 0; --waiting) {
                auto utilisation = table.acquire(Milliseconds(200), m_random(), at(m_now));
                if (!utilisation.ok())
                    break;
                const auto service = std::min(200.0, 1 + exponential(m_random, meanServiceMs));
                m_running[n].emplace_back(utilisation->id, m_now + static_cast<int64_t>(service));
            }
            VERIFY(table.recordWaiting(waiting, at(m_now)).ok());
            m_served += std::min(table.inUse(), m_demand[n]);
            m_totalDemand += m_demand[n];
            if (m_lendsSlots && (waiting > 0 || m_now % 100 == 0))
                exchangeLoans(n);
        }

        void exchangeLoans(size_t n)
        {
            auto loanRequests = m_tables[n].makeLoanRequests(at(m_now), m_random());
            VERIFY(loanRequests.ok());
            m_loanMessages += static_cast<int64_t>(loanRequests->size());
            for (const auto& loanRequest : *loanRequests)
                send([=, this] { replyToLoanRequest(loanRequest); });
            auto returns = m_tables[n].returnIdleLoans(at(m_now));
            VERIFY(returns.ok());
            m_loanMessages += static_cast<int64_t>(returns->size());
            for (const auto& loan : *returns)
                send([=, this] { VERIFY(m_tables[indexOf(loan.lender)].acceptReturn(loan, at(m_now)).ok()); });
        }

        void replyToLoanRequest(const LoanRequest& loanRequest)
        {
            auto grants = m_tables[indexOf(loanRequest.lender)].lend(loanRequest, at(m_now));
            VERIFY(grants.ok());
            m_loanMessages += static_cast<int64_t>(grants->size());
            for (const auto& grant : *grants) {
                // The renewal of a loan that has been returned in the meantime is rejected, which is expected.
                send([=, this] { static_cast<void>(m_tables[indexOf(grant.borrower)].applyGrant(grant, at(m_now))); });
            }
        }

        Random m_random;
        bool m_lendsSlots;
        int64_t m_now { 0 };
        int64_t m_served { 0 };
        int64_t m_totalDemand { 0 };
        int64_t m_loanMessages { 0 };
        std::vector<SlotTable> m_tables;
        std::vector<int64_t> m_demand;
        std::vector<std::vector<std::pair<uint64_t, int64_t>>> m_running;
        std::multimap<int64_t, std::function<void()>> m_messages;
    };

    constexpr int64_t hotMemberDemand = 220;
    constexpr int64_t idleMemberDemand = 5;
    constexpr int64_t phaseMs = 5000;

    // `first` and `later` are the maximum times in milliseconds until the member that gets the load has 90% of its
    // demand in use, for the first and for later moves of the load.
    struct SlotResult {
        double first { 0 };
        double later { 0 };
        double servedShare { 0 };
        double messages { 0 };
    };

    SlotResult moveLoad(uint64_t seed, const SlotTable::Options& options, bool lendsSlots, int64_t seconds)
    {
        SlotModel model(seed, options, lendsSlots);
        for (size_t n = 0; n < 9; ++n)
            model.setDemand(n, idleMemberDemand);
        for (int64_t ms = 0; ms < 2000; ++ms)
            model.step();
        const auto servedBefore = model.served();
        const auto demandBefore = model.totalDemand();
        SlotResult result;
        const auto phases = std::max<int64_t>(2, seconds * 1000 / phaseMs);
        for (int64_t phase = 0; phase < phases; ++phase) {
            const auto hot = static_cast<size_t>(phase * 4 % 9);
            model.setDemand(hot, hotMemberDemand);
            int64_t reached = phaseMs;
            for (int64_t ms = 0; ms < phaseMs; ++ms) {
                model.step();
                if (reached == phaseMs && model.inUse(hot) * 10 >= hotMemberDemand * 9)
                    reached = ms + 1;
            }
            auto& maxTimeMs = phase == 0 ? result.first : result.later;
            maxTimeMs = std::max(maxTimeMs, static_cast<double>(reached));
            model.setDemand(hot, idleMemberDemand);
        }
        result.servedShare = static_cast<double>(model.served() - servedBefore)
            / static_cast<double>(model.totalDemand() - demandBefore);
        result.messages = static_cast<double>(model.messages()) * 1000 / static_cast<double>(2000 + phases * phaseMs);
        return result;
    }

    // The demand of each member changes every 500 ms to a random value between 0 and 1.5 times its share of the slots,
    // so that the mean total demand is 75% of all slots.
    SlotResult fluctuateLoad(uint64_t seed, const SlotTable::Options& options, bool lendsSlots, int64_t seconds)
    {
        SlotModel model(seed, options, lendsSlots);
        Random random(seed);
        for (int64_t ms = 0; ms < seconds * 1000; ++ms) {
            for (size_t n = 0; ms % 500 == 0 && n < 9; ++n)
                model.setDemand(n, static_cast<int64_t>(randomBelow(random, 65)));
            model.step();
        }
        return { .servedShare = static_cast<double>(model.served()) / static_cast<double>(model.totalDemand()),
            .messages = static_cast<double>(model.messages()) / static_cast<double>(seconds) };
    }

    void benchSlots(uint64_t seed, std::ostream& os, const LimitsBenchSize& size)
    {
        const auto withLending = moveLoad(seed, {}, true, size.seconds);
        const auto withoutLending = moveLoad(seed, {}, false, size.seconds);
        const SlotTable::Options noReserve { .reserveShareMillis = 0 };
        const SlotTable::Options longWindow { .demandWindow = Milliseconds(1000) };
        const auto fluctuating = fluctuateLoad(seed, {}, true, size.seconds);
        printResult(
            os, seed, { "slots_first_move", "ms", withoutLending.first, withLending.first, 100, Better::Lower });
        printResult(
            os, seed, { "slots_later_move", "ms", withoutLending.later, withLending.later, 1000, Better::Lower });
        printResult(
            os, seed, { "slots_served_share", "share", withoutLending.servedShare, withLending.servedShare, 0.95 });
        printResult(os, seed,
            { "slots_fluctuating_served_share", "share", fluctuateLoad(seed, {}, false, size.seconds).servedShare,
                fluctuating.servedShare, 0.95 });
        printResult(os, seed, { "slots_loan_messages", "messages/s of all members", 0, withLending.messages });
        printResult(
            os, seed, { "slots_fluctuating_loan_messages", "messages/s of all members", 0, fluctuating.messages });
        // The baseline of an ablation is the policy without the feature or with another value of the option.
        auto ablate = [&](std::string_view name, const SlotTable::Options& options) {
            const auto moved = moveLoad(seed, options, true, size.seconds);
            const auto other = fluctuateLoad(seed, options, true, size.seconds);
            const auto prefix = fmt::format("ablation_slots_{}", name);
            printResult(os, seed, { prefix + "_later_move", "ms", moved.later, withLending.later });
            printResult(os, seed, { prefix + "_served_share", "share", moved.servedShare, withLending.servedShare });
            printResult(os, seed,
                { prefix + "_fluctuating_served_share", "share", other.servedShare, fluctuating.servedShare });
            printResult(
                os, seed, { prefix + "_fluctuating_messages", "messages/s", other.messages, fluctuating.messages });
        };
        ablate("without_reserve", noReserve);
        ablate("need_window_1000ms", longWindow);
    }

    // Admission: one upstream with 64 slots, exponential service times with a mean of 20 ms, and deadlines of 100 ms.
    enum class AdmissionPolicy {
        QueueDelay,
        QueueDelayOneClass,
        AdaptiveConcurrency,
        Unbounded,
    };

    struct AdmissionResult {
        double goodput { 0 };
        double criticalShare { 0 };
        double p99Ms { 0 };
    };

    class AdmissionModel {
    public:
        AdmissionModel(uint64_t seed, AdmissionPolicy policy)
            : m_random(seed)
            , m_policy(policy)
        {
            Admission::Options options { .initialServiceTime = Milliseconds(20) };
            if (policy == AdmissionPolicy::QueueDelayOneClass)
                options.delayShareMillis = { 1000, 1000, 1000 };
            auto admission = Admission::create(options);
            VERIFY(admission.ok() && admission->setSlots(slots).ok());
            m_admission.emplace(std::move(*admission));
        }

        AdmissionResult run(double load, int64_t seconds)
        {
            const auto perMs = load * static_cast<double>(slots) / meanServiceMs;
            double nextArrival = 0;
            for (m_now = 0; m_now < seconds * 1000; ++m_now) {
                finish();
                for (; nextArrival < static_cast<double>(m_now + 1); nextArrival += exponential(m_random, 1 / perMs))
                    arrive();
                startQueued();
            }
            return { .goodput = static_cast<double>(m_inTime) / static_cast<double>(seconds),
                .criticalShare
                = m_critical == 0 ? 1.0 : static_cast<double>(m_criticalInTime) / static_cast<double>(m_critical),
                .p99Ms = percentile(m_latencies, 0.99) };
        }

    private:
        static constexpr int64_t slots = 64;
        static constexpr double meanServiceMs = 20;
        static constexpr int64_t deadlineMs = 100;

        struct Request {
            int64_t arrived { 0 };
            int64_t serviceMs { 0 };
            bool isCritical { false };
        };

        bool usesAdmission() const
        {
            return m_policy == AdmissionPolicy::QueueDelay || m_policy == AdmissionPolicy::QueueDelayOneClass;
        }

        void arrive()
        {
            const auto id = ++m_nextId;
            const auto draw = uniform(m_random);
            const auto service = 1 + static_cast<int64_t>(exponential(m_random, meanServiceMs - 0.5));
            Request request { .arrived = m_now, .serviceMs = service, .isCritical = draw < 0.2 };
            m_critical += request.isCritical ? 1 : 0;
            if (!usesAdmission()) {
                const bool isFull = m_policy == AdmissionPolicy::AdaptiveConcurrency
                    && static_cast<double>(m_running.size() + m_fifo.size()) >= m_limit;
                if (!isFull) {
                    m_requests[id] = request;
                    m_fifo.push_back(id);
                }
                return;
            }
            auto priority = draw < 0.2 ? Priority::Critical : draw < 0.7 ? Priority::Normal : Priority::Sheddable;
            if (m_policy == AdmissionPolicy::QueueDelayOneClass)
                priority = Priority::Normal;
            auto decision
                = m_admission->offer({ .id = id, .priority = priority, .deadline = at(m_now + deadlineMs) }, at(m_now));
            VERIFY(decision.ok());
            if (decision->displaced)
                m_requests.erase(decision->displaced->id);
            if (decision->outcome == Admission::Outcome::Reject)
                return;
            m_requests[id] = request;
            if (decision->outcome == Admission::Outcome::Start)
                start(id);
        }

        void start(uint64_t id) { m_running.emplace(m_now + m_requests.at(id).serviceMs, id); }

        void startQueued()
        {
            if (usesAdmission()) {
                auto batch = m_admission->startQueued(at(m_now));
                VERIFY(batch.ok());
                for (auto id : batch->started)
                    start(id);
                for (const auto& rejected : batch->rejected)
                    m_requests.erase(rejected.id);
                return;
            }
            while (!m_fifo.empty() && m_running.size() < static_cast<size_t>(slots)) {
                start(m_fifo.front());
                m_fifo.pop_front();
            }
        }

        void finish()
        {
            while (!m_running.empty() && m_running.begin()->first <= m_now) {
                const auto id = m_running.begin()->second;
                m_running.erase(m_running.begin());
                const auto request = m_requests.at(id);
                m_requests.erase(id);
                const auto latency = m_now - request.arrived;
                m_latencies.push_back(latency);
                if (latency <= deadlineMs) {
                    ++m_inTime;
                    m_criticalInTime += request.isCritical ? 1 : 0;
                }
                if (usesAdmission())
                    VERIFY(m_admission->finish(id, Milliseconds(request.serviceMs), at(m_now)).ok());
                else
                    adaptLimit(latency);
            }
            if (usesAdmission())
                startQueued();
        }

        // Additive increase of the concurrency limit while the mean latency is at most twice the unloaded latency,
        // multiplicative decrease above that.
        void adaptLimit(int64_t latency)
        {
            m_meanLatency += 0.02 * (static_cast<double>(latency) - m_meanLatency);
            if (m_meanLatency > 2 * meanServiceMs && m_now >= m_nextDecrease) {
                m_limit = std::max(1.0, m_limit * 0.9);
                m_nextDecrease = m_now + 40;
            } else if (m_meanLatency <= 2 * meanServiceMs) {
                m_limit += 1 / m_limit;
            }
        }

        Random m_random;
        AdmissionPolicy m_policy;
        std::optional<Admission> m_admission;
        int64_t m_now { 0 };
        uint64_t m_nextId { 0 };
        std::unordered_map<uint64_t, Request> m_requests;
        std::multimap<int64_t, uint64_t> m_running;
        std::deque<uint64_t> m_fifo;
        std::vector<int64_t> m_latencies;
        int64_t m_inTime { 0 };
        int64_t m_critical { 0 };
        int64_t m_criticalInTime { 0 };
        double m_limit { 64 };
        double m_meanLatency { 20 };
        int64_t m_nextDecrease { 0 };
    };

    void benchAdmission(uint64_t seed, std::ostream& os, const LimitsBenchSize& size)
    {
        auto run
            = [&](AdmissionPolicy policy, double load) { return AdmissionModel(seed, policy).run(load, size.seconds); };
        auto relative = [&](AdmissionPolicy policy, const AdmissionResult& overload) {
            double peak = 0;
            for (double load : { 0.8, 0.9, 1.0, 1.2 })
                peak = std::max(peak, run(policy, load).goodput);
            return overload.goodput / peak;
        };
        const auto delay = run(AdmissionPolicy::QueueDelay, 2);
        const auto oneClass = run(AdmissionPolicy::QueueDelayOneClass, 2);
        const auto adaptive = run(AdmissionPolicy::AdaptiveConcurrency, 2);
        const auto unbounded = run(AdmissionPolicy::Unbounded, 2);
        const auto delayRelative = relative(AdmissionPolicy::QueueDelay, delay);
        printResult(os, seed,
            { "admission_goodput_2x", "share of peak", relative(AdmissionPolicy::Unbounded, unbounded), delayRelative,
                0.9 });
        printResult(os, seed,
            { "admission_goodput_2x_against_adaptive_concurrency", "share of peak",
                relative(AdmissionPolicy::AdaptiveConcurrency, adaptive), delayRelative, 0.9 });
        printResult(os, seed, { "admission_goodput_2x_absolute", "requests/s", adaptive.goodput, delay.goodput });
        // Target: the p99 of the service time without queueing (92 ms) plus the target queue delay of 20 ms.
        printResult(os, seed, { "admission_p99_2x", "ms", unbounded.p99Ms, delay.p99Ms, 112, Better::Lower });
        printResult(os, seed,
            { "admission_p99_2x_against_adaptive_concurrency", "ms", adaptive.p99Ms, delay.p99Ms, 112, Better::Lower });
        const auto lightLoad = run(AdmissionPolicy::QueueDelay, 0.5);
        printResult(os, seed,
            { "admission_critical_share_2x", "share", oneClass.criticalShare, delay.criticalShare,
                lightLoad.criticalShare - 0.02 });
    }

    // Client limits: 9 members and a client with a concurrency limit of 36. Two randomly chosen members, new ones every
    // 5 s, get most of its load. The client's coordinator fails at `coordinatorFailureMs`.
    double limitUtilisation(
        uint64_t seed, int64_t baseShareMillis, int64_t fromMs, int64_t toMs, int64_t coordinatorFailureMs)
    {
        constexpr int64_t limit = 36;
        constexpr int64_t stepMs = 10;
        Random random(seed);
        std::vector<ClientLimiter::Member> members;
        std::map<MemberId, ClientLimiter> limiters;
        std::map<MemberId, std::vector<int64_t>> running;
        std::map<MemberId, int64_t> demands;
        const ClientId client = fmt::format("client{}", seed);
        members.reserve(9);
        for (int n = 0; n < 9; ++n)
            members.push_back({ .id = fmt::format("e{}", n), .incarnation = 1 });
        for (const auto& member : members) {
            auto limiter
                = ClientLimiter::create({ .self = member.id, .incarnation = 1, .baseShareMillis = baseShareMillis });
            VERIFY(limiter.ok() && limiter->setMembers(members, at(0)).ok());
            VERIFY(limiter->setLimit({ client, 1000000000, limit }, at(0)).ok());
            limiter->setAuthorityExpiry(Instant::max());
            limiters.emplace(member.id, std::move(*limiter));
        }
        const auto failedMember = limiters.begin()->second.coordinatorOf(client);
        double used = 0;
        double usable = 0;
        for (int64_t ms = 0; ms < toMs; ms += stepMs) {
            if (ms % 5000 == 0) {
                for (const auto& member : members)
                    demands[member.id] = 1;
                demands[members[randomBelow(random, members.size())].id] += 20;
                demands[members[randomBelow(random, members.size())].id] += 20;
            }
            if (ms == coordinatorFailureMs) {
                limiters.erase(failedMember);
                std::erase_if(members, [&](const auto& member) { return member.id == failedMember; });
                demands.erase(failedMember);
            }
            // The other members learn of the removal of the failed member after 3 s.
            if (ms == coordinatorFailureMs + 3000) {
                for (auto& [id, limiter] : limiters)
                    VERIFY(limiter.setMembers(members, at(ms)).ok());
            }
            int64_t inUse = 0;
            int64_t demand = 0;
            for (auto& [id, limiter] : limiters) {
                auto& ends = running[id];
                std::erase_if(ends,
                    [&, current = &limiter](int64_t end) { return end <= ms && current->finish(client, at(ms)).ok(); });
                for (auto n = static_cast<int64_t>(ends.size()); n < demands[id]; ++n) {
                    auto outcome = limiter.admit(client, at(ms));
                    VERIFY(outcome.ok());
                    if (*outcome == ClientLimiter::Outcome::Admitted)
                        ends.push_back(ms + 10 + static_cast<int64_t>(std::min(1000.0, exponential(random, 100))));
                }
                auto reports = limiter.makeReports(at(ms));
                VERIFY(reports.ok());
                for (const auto& report : *reports) {
                    auto coordinator = limiters.find(report.coordinator);
                    if (coordinator == limiters.end())
                        continue;
                    if (auto grant = coordinator->second.grant(report, at(ms)); grant.ok())
                        VERIFY(limiter.applyGrant(*grant, at(ms)).ok());
                }
                inUse += static_cast<int64_t>(ends.size());
                demand += demands[id];
            }
            VERIFY(inUse <= limit);
            if (ms >= fromMs) {
                used += static_cast<double>(inUse);
                usable += static_cast<double>(std::min(limit, demand));
            }
        }
        return used / usable;
    }

    void benchClientLimits(uint64_t seed, std::ostream& os, const LimitsBenchSize& size)
    {
        const auto end = 10000 + size.seconds * 1000;
        auto utilisation
            = [&](int64_t baseShareMillis) { return limitUtilisation(seed, baseShareMillis, 10000, end, end); };
        auto utilisationAfterFailure
            = [&](int64_t baseShareMillis) { return limitUtilisation(seed, baseShareMillis, 20000, 32000, 20000); };
        const auto defaultBase = ClientLimiter::Options {}.baseShareMillis;
        const auto withDefaultBase = utilisation(defaultBase);
        const auto afterFailure = utilisationAfterFailure(defaultBase);
        printResult(os, seed, { "client_limit_use", "share", utilisation(1000), withDefaultBase, 0.8 });
        printResult(
            os, seed, { "client_limit_use_coordinator_dies", "share", utilisationAfterFailure(1000), afterFailure });
        for (int64_t base : { 0, 500 }) {
            printResult(os, seed,
                { fmt::format("ablation_client_limit_base_{}", base), "share", utilisation(base), withDefaultBase });
            printResult(os, seed,
                { fmt::format("ablation_client_limit_base_{}_coordinator_dies", base), "share",
                    utilisationAfterFailure(base), afterFailure });
        }
    }

    // Retries: every try fails. The figure is the mean number of tries per request.
    void benchRetries(uint64_t seed, std::ostream& os, const LimitsBenchSize& size)
    {
        Random random(seed);
        auto budget = RetryBudget::create({});
        VERIFY(budget.ok());
        int64_t tries = 0;
        const auto requests = size.seconds * 1000;
        for (int64_t n = 0; n < requests; ++n) {
            budget->recordFirstTry();
            ++tries;
            for (int32_t triesMade = 1;; ++triesMade) {
                auto decision = budget->retry({ .tries = triesMade,
                                                  .deadline = at(n + 1000),
                                                  .expectedDuration = Milliseconds(20),
                                                  .isIdempotent = true },
                    at(n), random());
                VERIFY(decision.ok());
                if (decision->outcome != RetryBudget::Outcome::Granted)
                    break;
                ++tries;
            }
        }
        printResult(os, seed,
            { "retry_amplification", "tries/request", 3, static_cast<double>(tries) / static_cast<double>(requests),
                1.1, Better::Lower });
    }

    // Outlier detection: of 20 upstreams, one fails all requests and one has 10 times the latency of the others. The
    // figure is the share of requests that fail or take more than 100 ms.
    double badRequestShare(uint64_t seed, bool usesDetector, bool usesSlowStart, int64_t seconds)
    {
        Random random(seed);
        auto detector = OutlierDetector::create(
            { .slowStart = { .window = Milliseconds(usesSlowStart ? 10000 : 1), .initialWeightMillis = 100 } });
        VERIFY(detector.ok());
        std::vector<OutlierDetector::Upstream> upstreams;
        upstreams.reserve(20);
        for (int n = 0; n < 20; ++n)
            upstreams.push_back({ .id = fmt::format("w{}", n), .capacity = 8 });
        VERIFY(detector->setUpstreams(upstreams, at(0)).ok());
        int64_t bad = 0;
        int64_t sent = 0;
        for (int64_t ms = 0; ms < seconds * 1000; ++ms) {
            for (int n = 0; n < 2;) {
                const auto index = randomBelow(random, upstreams.size());
                const auto& id = upstreams[index].id;
                const auto weight = usesDetector ? *detector->weightMillis(id, at(ms)) : 1000;
                if (static_cast<int64_t>(randomBelow(random, 1000)) >= weight)
                    continue;
                ++n;
                ++sent;
                if (index == 3) {
                    VERIFY(detector->recordFailure(id, at(ms)).ok());
                    ++bad;
                    continue;
                }
                const auto mean = index == 7 ? 100000.0 : 10000.0;
                const microseconds latency(static_cast<int64_t>(exponential(random, mean)));
                VERIFY(detector->recordSuccess(id, latency, at(ms)).ok());
                bad += latency > Milliseconds(100) ? 1 : 0;
            }
            VERIFY(detector->evaluate(at(ms)).ok());
        }
        return static_cast<double>(bad) / static_cast<double>(sent);
    }

    void benchOutliers(uint64_t seed, std::ostream& os, const LimitsBenchSize& size)
    {
        const auto figure = badRequestShare(seed, true, true, size.seconds);
        printResult(os, seed,
            { "outlier_bad_share", "share", badRequestShare(seed, false, true, size.seconds), figure, 0.015,
                Better::Lower });
        printResult(os, seed,
            { "ablation_outlier_without_slow_start", "share", badRequestShare(seed, true, false, size.seconds),
                figure });
    }

}

void runLimitsBench(uint64_t seed, std::ostream& os, LimitsBenchSize size)
{
    benchSlots(seed, os, size);
    benchAdmission(seed, os, size);
    benchClientLimits(seed, os, size);
    benchRetries(seed, os, size);
    benchOutliers(seed, os, size);
}

}
