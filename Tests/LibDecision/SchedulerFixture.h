#pragma once

#include <CppUTest/TestHarness.h>
#include <LibDecision/BatchScheduler.h>
#include <algorithm>
#include <map>

namespace Bergamot {

/// Estimator that knows the slowdown exactly: each kind slows services down by `rate` times its share of the host.
/// The caller owns the rate and may change it.
class KnownSlowdown final : public SlowdownEstimator {
public:
    explicit KnownSlowdown(const double& rate)
        : m_rate(rate)
    {
    }

    void observe(KindIndex, const std::vector<Neighbour>&, double, double, Instant) override { }
    SlowdownEstimate estimatePair(KindIndex victim, Neighbour neighbour, double) const override
    {
        return { .mean = neighbour.kind == victim ? 0 : m_rate * neighbour.share };
    }
    size_t stateBytes() const override { return 0; }

private:
    const double& m_rate;
};

/// A small cluster: `workers` hosts with 8 cores and 16 GB each in zones z0 and z1, one service kind and three batch
/// kinds.
class SchedulerFixture {
public:
    explicit SchedulerFixture(
        size_t workers = 4, SchedulerOptions options = {}, std::unique_ptr<SlowdownEstimator> estimator = nullptr)
        : scheduler(std::move(*BatchScheduler::create(options, std::move(estimator))))
    {
        for (size_t n = 0; n < workers; ++n)
            CHECK(scheduler->upsertWorker(worker(n)).ok());
        define({ .name = "web", .isService = true, .latencyTargetMs = 20 });
        define({ .name = "report", .yieldsTo = { "web", "urgent" } });
        define({ .name = "settle" });
        define({ .name = "urgent" });
        CHECK(scheduler->defineTeam({ .name = "a", .quota = { 1'000'000, 1'000'000, 100 } }).ok());
        tick();
    }

    static WorkerView worker(size_t n)
    {
        return { .id = "w" + std::to_string(n),
            .zone = "z" + std::to_string(n % 2),
            .rack = std::to_string(n / 2),
            .capacity = { 8'000, 16'000, 0 } };
    }

    static JobView job(const JobId& id, const std::string& kind, int64_t cores)
    {
        return { .id = id,
            .kind = kind,
            .team = "a",
            .size = { cores * 1'000, cores * 1'000 },
            .runMs = 60'000,
            .urgent = kind == "urgent",
            .isService = kind == "web" };
    }

    void define(const KindView& kind) { CHECK(scheduler->defineKind(kind).ok()); }
    void submit(const JobView& view) { CHECK(scheduler->submitJob(view).ok()); }

    std::vector<Decision> tick(int64_t seconds = 1)
    {
        now += Milliseconds { seconds * 1'000 };
        auto decisions = scheduler->tick(now);
        CHECK(decisions.ok());
        return std::move(*decisions);
    }

    /// Ticks, confirms each placement as the next attempt of its job and returns the decisions.
    std::vector<Decision> tickAndPlace(int64_t seconds = 1)
    {
        auto decisions = tick(seconds);
        for (const auto& place : only<PlaceTask>(decisions)) {
            CHECK(scheduler->taskPlaced(place.job, ++attempts[place.job], place.worker).ok());
            hosts[place.job] = place.worker;
        }
        return decisions;
    }

    void end(const JobId& job, AttemptOutcome outcome)
    {
        CHECK(scheduler->taskEnded(job, attempts[job], outcome, hosts[job]).ok());
    }

    template <typename T> static std::vector<T> only(const std::vector<Decision>& decisions)
    {
        std::vector<T> found;
        for (const auto& decision : decisions) {
            if (const auto* value = std::get_if<T>(&decision))
                found.push_back(*value);
        }
        return found;
    }

    bool waitsFor(const JobId& job, WaitCause cause) const
    {
        auto reasons = scheduler->whyWaiting(job);
        return reasons.ok() && std::ranges::find(*reasons, cause, &WaitReason::cause) != reasons->end();
    }

    std::unique_ptr<BatchScheduler> scheduler;
    Instant now {};
    std::map<JobId, uint32_t> attempts;
    std::map<JobId, WorkerId> hosts;
};

}
