#include "FaultCell.h"
#include "ClusterChecks.h"
#include <LibConfig/SiteConfigCodec.h>
#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <random>

namespace Bergamot {

using namespace std::chrono_literals;

static constexpr Milliseconds completionTimeout { 400'000 };

namespace {

    /// Submits the operations of callers and operators, repeats them each second until the replicated state contains
    /// them, and runs the checks each second.
    class Scenario {
    public:
        explicit Scenario(VirtualCluster& cluster, int minSeconds = 60)
            : m_cluster(cluster)
            , m_minSeconds(minSeconds)
        {
        }

        void run()
        {
            auto startedAt = m_cluster.events.now();
            while (m_violations.empty()
                && m_cluster.events.now() - startedAt < Milliseconds { m_minSeconds * 1000 } + completionTimeout) {
                m_cluster.run(1s);
                ++m_elapsedSeconds;
                check();
                if (m_cluster.anyNode())
                    submitOperations();
                if (m_elapsedSeconds > m_minSeconds && hasReachedFinalState())
                    return;
            }
            if (m_violations.empty())
                m_violations = m_cluster.allJobsEnded() ? "members have not reached the same final state\n"
                                                        : "jobs have not ended\n";
        }

        const std::string& violations() const { return m_violations; }

    private:
        void submitOperations()
        {
            const auto& image = m_cluster.anyNode()->region().state().image();
            if (m_cluster.anyNode()->configStream().state().image().config.version == 0)
                m_cluster.publishConfig();
            for (int i = 0; i < targetJobCount() && m_elapsedSeconds >= 8; ++i) {
                auto id = fmt::format("j{}", i);
                if (!image.jobs.contains(id))
                    m_cluster.submitJob(id, 6000 + 4000 * (i % 4), i % 2 ? "report" : "settlement");
            }
            auto cancelled = image.jobs.find("j3");
            if (m_elapsedSeconds >= 12 && cancelled != image.jobs.end() && !cancelled->second.hasEnded())
                m_cluster.anyNode()->region().appends().submit(JobCancelled { .job = "j3" });
            bool zoneOut = m_elapsedSeconds >= 14 && m_elapsedSeconds < 30;
            if (m_elapsedSeconds >= 14 && image.zonesOut.contains("b") != zoneOut)
                m_cluster.setZoneOut("b", zoneOut);
            if (m_elapsedSeconds >= 10 && m_elapsedSeconds < 40)
                sendRequests();
            if (m_elapsedSeconds >= 16 && !image.terms.contains("shop"))
                m_cluster.anyNode()->region().appends().submit(TermsRenewed { .client = "shop",
                    .renewal = 1,
                    .requestsPerSecond = 120,
                    .concurrency = 3,
                    .basedOn = image.termsChangedAt });
        }

        // Claims each non-idempotent request on all members repeatedly, as callers do that retry after a lost reply.
        void sendRequests()
        {
            for (const char* id : { "e1", "e2", "e3" }) {
                auto* node = m_cluster.node(id);
                if (!node || !node->config())
                    continue;
                auto key = fmt::format("shop/request-{}", m_elapsedSeconds / 5);
                node->ledger().claim(key, 7, m_cluster.events.now() + 2s, [this, node, key](const ClaimResult& result) {
                    if (!std::holds_alternative<ClaimGranted>(result))
                        return;
                    if (++m_executions[key] > 1)
                        m_violations += fmt::format("P7: request {} was granted twice\n", key);
                    node->ledger().finish(key, 200, "answer");
                });
            }
        }

        // Runs longer than 60 s submit another job every 10 s, so that jobs are active whenever a fault is injected.
        int targetJobCount() const { return 12 + std::max(0, std::min(m_elapsedSeconds, m_minSeconds) - 60) / 10; }

        void check()
        {
            m_violations += findViolations(m_cluster);
            for (const char* id : { "e1", "e2", "e3" }) {
                auto* node = m_cluster.node(id);
                if (!node || !node->config())
                    continue;
                auto version = node->activeConfig().version;
                auto& highest = m_highestVersions[id];
                if (version < highest)
                    m_violations += fmt::format("P10: {} went back to version {}\n", id, version);
                highest = std::max(highest, version);
            }
        }

        bool hasReachedFinalState()
        {
            if (!m_cluster.anyNode() || !m_cluster.allJobsEnded() || m_cluster.image().zonesOut.contains("b"))
                return false;
            for (const auto& [id, job] : m_cluster.image().jobs) {
                bool mayBeCancelled = id == "j3" && job.phase == JobPhase::Cancelled;
                if (!job.spec.isService && job.phase != JobPhase::Completed && !mayBeCancelled)
                    m_violations += fmt::format("job {} is {}\n", id, toString(job.phase));
            }
            return checkMembersAgree();
        }

        // Members can be at different log positions, so their states are compared only at the same position.
        bool checkMembersAgree()
        {
            auto* first = m_cluster.node("e1");
            for (const char* id : { "e1", "e2", "e3" }) {
                auto* node = m_cluster.node(id);
                if (!node || !node->config() || node->region().state().position() != first->region().state().position())
                    return false;
                if (node->region().state().encodeSnapshot() != first->region().state().encodeSnapshot())
                    m_violations += fmt::format("the states of {} and e1 differ\n", id);
            }
            return true;
        }

        VirtualCluster& m_cluster;
        std::string m_violations;
        std::map<MemberId, uint64_t> m_highestVersions;
        std::map<std::string, int> m_executions;
        int m_minSeconds;
        int m_elapsedSeconds { 0 };
    };

}

CellResult runCell(Step step, const Fault* fault)
{
    VirtualCluster cluster { { .snapshotEntries = 60 } };
    CellResult result;
    cluster.onStep = [&](Step reachedStep, const MemberId& member) {
        if (reachedStep != step || result.stepReached)
            return;
        result.stepReached = true;
        if (fault)
            fault->inject(cluster, member);
    };
    Scenario scenario(cluster);
    scenario.run();
    result.violations = scenario.violations();
    return result;
}

RandomisedResult runRandomised(uint64_t seed, Milliseconds length)
{
    VirtualCluster cluster { { .seed = seed, .snapshotEntries = 60 } };
    RandomisedResult result;
    std::mt19937_64 random(seed);
    static constexpr uint64_t maxPauseMs = 40'000;
    for (Milliseconds at { 10'000 }; at < length; at += Milliseconds { 5000 + random() % maxPauseMs }) {
        const auto& fault = allFaults()[random() % allFaults().size()];
        auto member = fmt::format("e{}", 1 + random() % 3);
        result.trace += fmt::format("{} ms: {} ({})\n", at.count(), fault.name, member);
        cluster.events.scheduleAfter(at, [&cluster, &fault, member] { fault.inject(cluster, member); });
    }
    Scenario scenario(cluster, static_cast<int>(length.count() / 1000));
    scenario.run();
    result.violations = scenario.violations();
    return result;
}

}
