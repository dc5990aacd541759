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

    // The distributions of the standard library differ between implementations; these give the same values everywhere.
    double uniform(Random& random) { return static_cast<double>(random() >> 11U) * 0x1.0p-53; }
    double exponential(Random& random, double mean) { return -mean * std::log(1.0 - uniform(random)); }
    size_t below(Random& random, size_t n) { return static_cast<size_t>(random() % n); }

    enum class Better {
        Lower,
        Higher,
    };

    struct Line {
        std::string workload {};
        std::string_view unit {};
        double baseline { 0 };
        double figure { 0 };
        /// Nothing for a figure that only compares, as those of ablations.
        std::optional<double> target {};
        Better better { Better::Higher };
    };

    void print(std::ostream& os, uint64_t seed, const Line& line)
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

    // Slots: 9 members, 48 workers with 8 slots in 3 zones, 2 ms between members. The load enters at one member and
    // moves to another.
    class SlotModel {
    public:
        SlotModel(uint64_t seed, SlotTable::Options options, bool lends)
            : m_random(seed)
            , m_lends(lends)
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
                table->setAuthorityUntil(Instant::max());
                VERIFY(table->applyView(view, at(0)).ok());
                for (const auto& other : view.members)
                    VERIFY(table->notePosition(other.id, 1, at(0)).ok());
                m_tables.push_back(std::move(*table));
            }
            m_now = m_tables[0].settleTime().count() + 1;
            m_wanted.resize(memberCount, 0);
        }

        void setWanted(size_t member, int64_t wanted) { m_wanted[member] = wanted; }
        int64_t inUse(size_t member) const { return m_tables[member].inUse(); }
        int64_t served() const { return m_served; }
        int64_t wanted() const { return m_wantedSum; }
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
        static constexpr int64_t delay = 2;
        static constexpr double meanService = 20;

        static ZoneId zoneOf(size_t n) { return fmt::format("z{}", n % 3); }
        static size_t indexOf(const MemberId& id) { return static_cast<size_t>(id[1] - '0'); }

        void deliver()
        {
            while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
                auto handle = std::move(m_messages.begin()->second);
                m_messages.erase(m_messages.begin());
                handle();
            }
        }

        void send(std::function<void()> handle) { m_messages.emplace(m_now + delay, std::move(handle)); }

        void sendHeartbeats()
        {
            for (size_t from = 0; from < memberCount; ++from) {
                const auto freeSlots = m_tables[from].lendable();
                for (size_t to = 0; to < memberCount; ++to) {
                    if (to != from)
                        send([=, this] {
                            VERIFY(m_tables[to].notePeer(fmt::format("e{}", from), freeSlots, at(m_now)).ok());
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
            auto waiting = std::max<int64_t>(0, m_wanted[n] - table.inUse());
            for (; waiting > 0; --waiting) {
                auto use = table.acquire(Milliseconds(200), m_random(), at(m_now));
                if (!use.ok())
                    break;
                const auto service = std::min(200.0, 1 + exponential(m_random, meanService));
                m_running[n].emplace_back(use->id, m_now + static_cast<int64_t>(service));
            }
            VERIFY(table.noteWaiting(waiting, at(m_now)).ok());
            m_served += std::min(table.inUse(), m_wanted[n]);
            m_wantedSum += m_wanted[n];
            if (m_lends && (waiting > 0 || m_now % 100 == 0))
                exchange(n);
        }

        void exchange(size_t n)
        {
            auto loanRequests = m_tables[n].loanRequests(at(m_now), m_random());
            VERIFY(loanRequests.ok());
            m_loanMessages += static_cast<int64_t>(loanRequests->size());
            for (const auto& loanRequest : *loanRequests)
                send([=, this] { answer(loanRequest); });
            auto returns = m_tables[n].returns(at(m_now));
            VERIFY(returns.ok());
            m_loanMessages += static_cast<int64_t>(returns->size());
            for (const auto& loan : *returns)
                send([=, this] { VERIFY(m_tables[indexOf(loan.lender)].takeBack(loan, at(m_now)).ok()); });
        }

        void answer(const LoanRequest& loanRequest)
        {
            auto grants = m_tables[indexOf(loanRequest.lender)].lend(loanRequest, at(m_now));
            VERIFY(grants.ok());
            m_loanMessages += static_cast<int64_t>(grants->size());
            for (const auto& grant : *grants) {
                // An extension of a loan that was returned meanwhile is refused; that is no fault.
                send([=, this] { static_cast<void>(m_tables[indexOf(grant.borrower)].receive(grant, at(m_now))); });
            }
        }

        Random m_random;
        bool m_lends;
        int64_t m_now { 0 };
        int64_t m_served { 0 };
        int64_t m_wantedSum { 0 };
        int64_t m_loanMessages { 0 };
        std::vector<SlotTable> m_tables;
        std::vector<int64_t> m_wanted;
        std::vector<std::vector<std::pair<uint64_t, int64_t>>> m_running;
        std::multimap<int64_t, std::function<void()>> m_messages;
    };

    constexpr int64_t hotLoad = 220;
    constexpr int64_t idleLoad = 5;
    constexpr int64_t phaseMs = 5000;

    // Milliseconds until the hot member has nine tenths of what it wants, for the first and for later moves of the
    // load.
    struct SlotMoves {
        double first { 0 };
        double later { 0 };
        double servedShare { 0 };
        double messages { 0 };
    };

    SlotMoves moveSlots(uint64_t seed, const SlotTable::Options& options, bool lends, int64_t seconds)
    {
        SlotModel model(seed, options, lends);
        for (size_t n = 0; n < 9; ++n)
            model.setWanted(n, idleLoad);
        for (int64_t ms = 0; ms < 2000; ++ms)
            model.step();
        const auto servedBefore = model.served();
        const auto wantedBefore = model.wanted();
        SlotMoves moves;
        const auto phases = std::max<int64_t>(2, seconds * 1000 / phaseMs);
        for (int64_t phase = 0; phase < phases; ++phase) {
            const auto hot = static_cast<size_t>(phase * 4 % 9);
            model.setWanted(hot, hotLoad);
            int64_t reached = phaseMs;
            for (int64_t ms = 0; ms < phaseMs; ++ms) {
                model.step();
                if (reached == phaseMs && model.inUse(hot) * 10 >= hotLoad * 9)
                    reached = ms + 1;
            }
            auto& worst = phase == 0 ? moves.first : moves.later;
            worst = std::max(worst, static_cast<double>(reached));
            model.setWanted(hot, idleLoad);
        }
        moves.servedShare
            = static_cast<double>(model.served() - servedBefore) / static_cast<double>(model.wanted() - wantedBefore);
        moves.messages = static_cast<double>(model.messages()) * 1000 / static_cast<double>(2000 + phases * phaseMs);
        return moves;
    }

    // Each member's demand changes every 500 ms between none and 1.6 times the slots of a member, three quarters of all
    // slots on average.
    SlotMoves fluctuate(uint64_t seed, const SlotTable::Options& options, bool lends, int64_t seconds)
    {
        SlotModel model(seed, options, lends);
        Random random(seed);
        for (int64_t ms = 0; ms < seconds * 1000; ++ms) {
            for (size_t n = 0; ms % 500 == 0 && n < 9; ++n)
                model.setWanted(n, static_cast<int64_t>(below(random, 65)));
            model.step();
        }
        return { .servedShare = static_cast<double>(model.served()) / static_cast<double>(model.wanted()),
            .messages = static_cast<double>(model.messages()) / static_cast<double>(seconds) };
    }

    void benchSlots(uint64_t seed, std::ostream& os, const LimitsBenchSize& size)
    {
        const auto lending = moveSlots(seed, {}, true, size.seconds);
        const auto alone = moveSlots(seed, {}, false, size.seconds);
        const SlotTable::Options noReserve { .reserveMillis = 0 };
        const SlotTable::Options longWindow { .needWindow = Milliseconds(1000) };
        const auto steady = fluctuate(seed, {}, true, size.seconds);
        print(os, seed, { "slots_first_move", "ms", alone.first, lending.first, 100, Better::Lower });
        print(os, seed, { "slots_later_move", "ms", alone.later, lending.later, 1000, Better::Lower });
        print(os, seed, { "slots_served_share", "share", alone.servedShare, lending.servedShare, 0.95 });
        print(os, seed,
            { "slots_fluctuating_served_share", "share", fluctuate(seed, {}, false, size.seconds).servedShare,
                steady.servedShare, 0.95 });
        print(os, seed, { "slots_loan_messages", "messages/s of all members", 0, lending.messages });
        print(os, seed, { "slots_fluctuating_loan_messages", "messages/s of all members", 0, steady.messages });
        // The baseline of an ablation is the policy without the part, or with another value of it.
        auto ablate = [&](std::string_view name, const SlotTable::Options& options) {
            const auto moved = moveSlots(seed, options, true, size.seconds);
            const auto other = fluctuate(seed, options, true, size.seconds);
            const auto prefix = fmt::format("ablation_slots_{}", name);
            print(os, seed, { prefix + "_later_move", "ms", moved.later, lending.later });
            print(os, seed, { prefix + "_served_share", "share", moved.servedShare, lending.servedShare });
            print(os, seed, { prefix + "_fluctuating_served_share", "share", other.servedShare, steady.servedShare });
            print(os, seed, { prefix + "_fluctuating_messages", "messages/s", other.messages, steady.messages });
        };
        ablate("without_reserve", noReserve);
        ablate("need_window_1000ms", longWindow);
    }

    // Admission: one upstream with 64 slots, exponential service times with a mean of 20 ms, deadlines of 100 ms.
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
            Admission::Options options { .initialService = Milliseconds(20) };
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
            return { .goodput = static_cast<double>(m_good) / static_cast<double>(seconds),
                .criticalShare
                = m_critical == 0 ? 1.0 : static_cast<double>(m_criticalGood) / static_cast<double>(m_critical),
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
            const auto kind = uniform(m_random);
            const auto service = 1 + static_cast<int64_t>(exponential(m_random, meanServiceMs - 0.5));
            Request request { .arrived = m_now, .serviceMs = service, .isCritical = kind < 0.2 };
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
            auto priority = kind < 0.2 ? Priority::Critical : kind < 0.7 ? Priority::Normal : Priority::Sheddable;
            if (m_policy == AdmissionPolicy::QueueDelayOneClass)
                priority = Priority::Normal;
            auto decision
                = m_admission->offer({ .id = id, .priority = priority, .deadline = at(m_now + deadlineMs) }, at(m_now));
            VERIFY(decision.ok());
            if (decision->displaced)
                m_requests.erase(decision->displaced->id);
            if (decision->verdict == Admission::Verdict::Refuse)
                return;
            m_requests[id] = request;
            if (decision->verdict == Admission::Verdict::Start)
                start(id);
        }

        void start(uint64_t id) { m_running.emplace(m_now + m_requests.at(id).serviceMs, id); }

        void startQueued()
        {
            if (usesAdmission()) {
                auto batch = m_admission->take(at(m_now));
                VERIFY(batch.ok());
                for (auto id : batch->started)
                    start(id);
                for (const auto& refusal : batch->refused)
                    m_requests.erase(refusal.id);
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
                    ++m_good;
                    m_criticalGood += request.isCritical ? 1 : 0;
                }
                if (usesAdmission())
                    VERIFY(m_admission->finish(id, Milliseconds(request.serviceMs), at(m_now)).ok());
                else
                    adaptLimit(latency);
            }
            if (usesAdmission())
                startQueued();
        }

        // Additive increase while the mean latency is below twice the unloaded one, multiplicative decrease above.
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
        int64_t m_good { 0 };
        int64_t m_critical { 0 };
        int64_t m_criticalGood { 0 };
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
        print(os, seed,
            { "admission_goodput_2x", "share of peak", relative(AdmissionPolicy::Unbounded, unbounded), delayRelative,
                0.9 });
        print(os, seed,
            { "admission_goodput_2x_against_adaptive_concurrency", "share of peak",
                relative(AdmissionPolicy::AdaptiveConcurrency, adaptive), delayRelative, 0.9 });
        print(os, seed, { "admission_goodput_2x_absolute", "requests/s", adaptive.goodput, delay.goodput });
        // Target: the p99 of the service time alone (92 ms) and the queue delay of 20 ms.
        print(os, seed, { "admission_p99_2x", "ms", unbounded.p99Ms, delay.p99Ms, 112, Better::Lower });
        print(os, seed,
            { "admission_p99_2x_against_adaptive_concurrency", "ms", adaptive.p99Ms, delay.p99Ms, 112, Better::Lower });
        const auto longest = run(AdmissionPolicy::QueueDelay, 0.5);
        print(os, seed,
            { "admission_critical_share_2x", "share", oneClass.criticalShare, delay.criticalShare,
                longest.criticalShare - 0.02 });
    }

    // Client limits: 9 members, a client with 36 requests at once; most of its load enters at two members that change
    // every 5 s. The client's coordinator dies after half the time.
    double useOfLimit(uint64_t seed, int64_t baseMillis, int64_t fromMs, int64_t toMs, int64_t deathMs)
    {
        constexpr int64_t limit = 36;
        constexpr int64_t stepMs = 10;
        Random random(seed);
        std::vector<ClientLimiter::Member> members;
        std::map<MemberId, ClientLimiter> limiters;
        std::map<MemberId, std::vector<int64_t>> running;
        std::map<MemberId, int64_t> wanted;
        const ClientId client = fmt::format("client{}", seed);
        members.reserve(9);
        for (int n = 0; n < 9; ++n)
            members.push_back({ .id = fmt::format("e{}", n), .incarnation = 1 });
        for (const auto& member : members) {
            auto limiter = ClientLimiter::create({ .self = member.id, .incarnation = 1, .baseMillis = baseMillis });
            VERIFY(limiter.ok() && limiter->setMembers(members, at(0)).ok());
            VERIFY(limiter->setLimit({ client, 1000000000, limit }, at(0)).ok());
            limiter->setAuthorityUntil(Instant::max());
            limiters.emplace(member.id, std::move(*limiter));
        }
        const auto dead = limiters.begin()->second.coordinatorOf(client);
        double used = 0;
        double possible = 0;
        for (int64_t ms = 0; ms < toMs; ms += stepMs) {
            if (ms % 5000 == 0) {
                for (const auto& member : members)
                    wanted[member.id] = 1;
                wanted[members[below(random, members.size())].id] += 20;
                wanted[members[below(random, members.size())].id] += 20;
            }
            if (ms == deathMs) {
                limiters.erase(dead);
                std::erase_if(members, [&](const auto& member) { return member.id == dead; });
                wanted.erase(dead);
            }
            // The removal of the dead member becomes known after 3 s.
            if (ms == deathMs + 3000) {
                for (auto& [id, limiter] : limiters)
                    VERIFY(limiter.setMembers(members, at(ms)).ok());
            }
            int64_t inUse = 0;
            int64_t demand = 0;
            for (auto& [id, limiter] : limiters) {
                auto& ends = running[id];
                std::erase_if(ends,
                    [&, current = &limiter](int64_t end) { return end <= ms && current->finish(client, at(ms)).ok(); });
                for (auto n = static_cast<int64_t>(ends.size()); n < wanted[id]; ++n) {
                    auto verdict = limiter.admit(client, at(ms));
                    VERIFY(verdict.ok());
                    if (*verdict == ClientLimiter::Verdict::Admitted)
                        ends.push_back(ms + 10 + static_cast<int64_t>(std::min(1000.0, exponential(random, 100))));
                }
                auto reports = limiter.reports(at(ms));
                VERIFY(reports.ok());
                for (const auto& report : *reports) {
                    auto coordinator = limiters.find(report.coordinator);
                    if (coordinator == limiters.end())
                        continue;
                    if (auto grant = coordinator->second.grant(report, at(ms)); grant.ok())
                        VERIFY(limiter.receive(*grant, at(ms)).ok());
                }
                inUse += static_cast<int64_t>(ends.size());
                demand += wanted[id];
            }
            VERIFY(inUse <= limit);
            if (ms >= fromMs) {
                used += static_cast<double>(inUse);
                possible += static_cast<double>(std::min(limit, demand));
            }
        }
        return used / possible;
    }

    void benchClientLimits(uint64_t seed, std::ostream& os, const LimitsBenchSize& size)
    {
        const auto end = 10000 + size.seconds * 1000;
        auto use = [&](int64_t baseMillis) { return useOfLimit(seed, baseMillis, 10000, end, end); };
        auto useAtDeath = [&](int64_t baseMillis) { return useOfLimit(seed, baseMillis, 20000, 32000, 20000); };
        const auto chosen = ClientLimiter::Options {}.baseMillis;
        const auto split = use(chosen);
        const auto death = useAtDeath(chosen);
        print(os, seed, { "client_limit_use", "share", use(1000), split, 0.8 });
        print(os, seed, { "client_limit_use_coordinator_dies", "share", useAtDeath(1000), death });
        for (int64_t base : { 0, 500 }) {
            print(os, seed, { fmt::format("ablation_client_limit_base_{}", base), "share", use(base), split });
            print(os, seed,
                { fmt::format("ablation_client_limit_base_{}_coordinator_dies", base), "share", useAtDeath(base),
                    death });
        }
    }

    // Retries: every try fails. The figure is the number of tries for each request.
    void benchRetries(uint64_t seed, std::ostream& os, const LimitsBenchSize& size)
    {
        Random random(seed);
        auto budget = RetryBudget::create({});
        VERIFY(budget.ok());
        int64_t tries = 0;
        const auto requests = size.seconds * 1000;
        for (int64_t n = 0; n < requests; ++n) {
            budget->noteFirstTry();
            ++tries;
            for (int32_t made = 1;; ++made) {
                auto decision = budget->retry(
                    { .tries = made, .deadline = at(n + 1000), .expected = Milliseconds(20), .idempotent = true },
                    at(n), random());
                VERIFY(decision.ok());
                if (decision->verdict != RetryBudget::Verdict::Granted)
                    break;
                ++tries;
            }
        }
        print(os, seed,
            { "retry_amplification", "tries/request", 3, static_cast<double>(tries) / static_cast<double>(requests),
                1.1, Better::Lower });
    }

    // Outliers: of 20 upstreams one fails everything and one is 10 times slower than the others.
    double badShare(uint64_t seed, bool detects, bool startsSlowly, int64_t seconds)
    {
        Random random(seed);
        auto detector = OutlierDetector::create(
            { .slowStart = { .window = Milliseconds(startsSlowly ? 10000 : 1), .initialMillis = 100 } });
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
                const auto index = below(random, upstreams.size());
                const auto& id = upstreams[index].id;
                const auto weight = detects ? *detector->weightMillis(id, at(ms)) : 1000;
                if (static_cast<int64_t>(below(random, 1000)) >= weight)
                    continue;
                ++n;
                ++sent;
                if (index == 3) {
                    VERIFY(detector->noteFailure(id, at(ms)).ok());
                    ++bad;
                    continue;
                }
                const auto mean = index == 7 ? 100000.0 : 10000.0;
                const microseconds latency(static_cast<int64_t>(exponential(random, mean)));
                VERIFY(detector->noteSuccess(id, latency, at(ms)).ok());
                bad += latency > Milliseconds(100) ? 1 : 0;
            }
            VERIFY(detector->evaluate(at(ms)).ok());
        }
        return static_cast<double>(bad) / static_cast<double>(sent);
    }

    void benchOutliers(uint64_t seed, std::ostream& os, const LimitsBenchSize& size)
    {
        const auto figure = badShare(seed, true, true, size.seconds);
        print(os, seed,
            { "outlier_bad_share", "share", badShare(seed, false, true, size.seconds), figure, 0.015, Better::Lower });
        print(os, seed,
            { "ablation_outlier_without_slow_start", "share", badShare(seed, true, false, size.seconds), figure });
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
