#include "../CheckProperty.h"
#include "TaskSchedulerFixture.h"
#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace Bergamot;

namespace {

/// Jobs whose steps combine all fields, on the workers of several leaders in virtual time.
class RandomSteps {
public:
    explicit RandomSteps(uint32_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < 4; ++i) {
            auto id = "j" + std::to_string(i);
            std::vector<StepSpec> steps;
            steps.reserve(4);
            for (int step = 0; step < 4; ++step)
                steps.push_back(randomStep());
            m_jobs.push_back(TaskSchedulerFixture::job(id, steps, chance() ? "quick" : "batch"));
        }
        replaceLeader();
    }

    void run(int rounds)
    {
        constexpr uint32_t leaderChangeInterval { 12 };
        for (int i = 0; i < rounds; ++i) {
            if (below(leaderChangeInterval) == 0)
                replaceLeader();
            m_fixture->advance(Milliseconds { 450 });
            for (WorkerHandle worker = 1; worker <= workerCount; ++worker)
                report(worker);
            for (const auto& action : m_fixture->plan())
                apply(action);
        }
    }

private:
    static constexpr WorkerHandle workerCount { 3 };

    struct Run {
        TaskRef task {};
        uint64_t run { 0 };
        uint32_t progress { 0 };
    };

    uint32_t below(uint32_t limit) { return m_random() % limit; }
    bool chance() { return below(2) == 0; }

    StepSpec randomStep()
    {
        constexpr uint32_t images { 3 };
        auto step = TaskSchedulerFixture::step(1 + below(3));
        step.gang = chance();
        step.prefersSameRack = chance();
        step.speculative = chance();
        step.checkpointing = chance();
        step.longRunning = chance();
        step.bestEffort = chance();
        step.maxPerWorker = below(3);
        // The empty name stands for a step without an image.
        if (auto image = below(images + 1); image > 0)
            step.image = "image-" + std::to_string(image);
        step.targetLatencyMs = chance() ? 40 : 0;
        step.size.cpuMillis = static_cast<int64_t>(below(8)) * 1000;
        return step;
    }

    const StepSpec& stepOf(const TaskRef& task) const
    {
        for (const auto& job : m_jobs) {
            if (job.id == task.job)
                return job.steps[task.step];
        }
        FAIL("an action names an unknown job");
        return m_jobs.front().steps.front();
    }

    void replaceLeader()
    {
        auto now = m_fixture ? m_fixture->now() : neverInstant;
        auto successor = std::make_unique<TaskSchedulerFixture>(++m_epoch);
        if (m_fixture) {
            auto pressures = m_fixture->scheduler().savePressures();
            CHECK_TRUE(pressures.check().ok());
            successor->scheduler().restorePressures(pressures);
            successor->advance(now - successor->now());
        }
        m_fixture = std::move(successor);
        for (WorkerHandle worker = 1; worker <= workerCount; ++worker)
            m_fixture->addWorker(worker);
        for (const auto& job : m_jobs)
            m_fixture->scheduler().addJob(job, std::nullopt, neverInstant);
    }

    void report(WorkerHandle worker)
    {
        constexpr uint32_t maxMeasurement { 6000 };
        auto& runs = m_runs[worker];
        std::vector<RunReport> reports;
        for (auto& [key, run] : runs) {
            run.progress = std::min(100U, run.progress + below(60));
            reports.push_back({ run.task, run.run, "", run.progress, static_cast<int64_t>(below(maxMeasurement)) });
        }
        m_fixture->scheduler().runsReported(worker, reports, RunEndCoverage::All, m_fixture->now(), m_fixture->now());
        if (runs.empty() || below(6) != 0)
            return;
        auto ended = runs.begin()->second;
        runs.erase(runs.begin());
        m_fixture->scheduler().runEnded(worker,
            { .sequence = ++m_sequences[worker],
                .task = ended.task,
                .run = ended.run,
                .outcome = chance() ? RunOutcome::Done : RunOutcome::Failed },
            m_fixture->now());
    }

    void apply(const TaskAction& action)
    {
        if (const auto* start = std::get_if<StartTask>(&action)) {
            m_runs[start->worker][{ start->task, start->run }] = { .task = start->task, .run = start->run };
        } else if (const auto* throttle = std::get_if<ThrottleRun>(&action)) {
            CHECK_TRUE(stepOf(throttle->task).bestEffort);
            CHECK_TRUE(throttle->speedPercent <= 100);
        } else if (const auto* stop = std::get_if<StopTask>(&action)) {
            if (m_runs[stop->worker].erase({ stop->task, stop->run }) > 0)
                m_fixture->scheduler().runEnded(stop->worker,
                    { .sequence = ++m_sequences[stop->worker],
                        .task = stop->task,
                        .run = stop->run,
                        .outcome = RunOutcome::Stopped },
                    m_fixture->now());
        }
    }

    std::mt19937 m_random;
    std::vector<JobSpec> m_jobs;
    std::unique_ptr<TaskSchedulerFixture> m_fixture;
    uint64_t m_epoch { 0 };
    std::map<WorkerHandle, std::map<std::pair<TaskRef, uint64_t>, Run>> m_runs;
    std::map<WorkerHandle, uint64_t> m_sequences;
};

}

/// Jobs of unusual steps beside serving and best-effort tasks.
TEST_GROUP(StepFields)
{
    TaskSchedulerFixture fixture;
    TaskScheduler& scheduler { fixture.scheduler() };

    static StepSpec servingStep()
    {
        auto step = TaskSchedulerFixture::step(1);
        step.longRunning = true;
        step.image = "s";
        step.targetLatencyMs = 40;
        return step;
    }

    StartTask start(const std::string& id, const StepSpec& step)
    {
        scheduler.addJob(fixture.job(id, { step }), std::nullopt, neverInstant);
        auto starts = fixture.planStarts();
        CHECK_EQUAL(1, starts.size());
        return starts.at(0);
    }

    std::vector<TaskAction> report(const std::vector<RunReport>& reports)
    {
        fixture.advance(Milliseconds { 1000 });
        scheduler.runsReported(1, reports, RunEndCoverage::All, fixture.now(), fixture.now());
        return fixture.plan();
    }
};

// Guards against a leader that ends with a segmentation fault: the number of a best-effort image was used as that of a
// serving image.
TEST(StepFields, BestEffortTaskWithLatencyTargetIsNoServingTask)
{
    fixture.addWorker(1);
    auto step = servingStep();
    step.bestEffort = true;
    auto task = start("j", step);
    for (int i = 0; i < 20; ++i)
        report({ { task.task, task.run, "", 100, 4000 } });
    CHECK_TRUE(scheduler.savePressures().baseTailLatencies.empty());
}

// Guards against best-effort tasks that are paused for good because such a task, which is paused too, misses its
// target.
TEST(StepFields, BestEffortTaskOverItsTargetPausesNoOthers)
{
    fixture.addWorker(1);
    auto serving = start("serving", servingStep());
    auto step = servingStep();
    step.bestEffort = true;
    step.image = "f";
    auto task = start("j", step);
    for (int i = 0; i < 20; ++i) {
        for (const auto& action :
            report({ { serving.task, serving.run, "", 100, 10 }, { task.task, task.run, "", 100, 4000 } }))
            CHECK_FALSE(std::holds_alternative<ThrottleRun>(action) && std::get<ThrottleRun>(action).speedPercent == 0);
    }
}

// Guards against faults of single combinations of the fields of a step, none of which the platform excludes.
TEST(StepFields, LeadersHandleAllCombinations)
{
    checkProperty("plans and reports with any fields", [](uint32_t seed) { RandomSteps(seed).run(60); });
}
