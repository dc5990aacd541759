#include "../CheckProperty.h"
#include "TaskSchedulerFixture.h"
#include <algorithm>
#include <map>
#include <set>
#include <tuple>

using namespace Bergamot;

/// A recurring job some of whose tasks an earlier leader has started, also before they are due by this leader's clock.
TEST_GROUP(TaskCompletion)
{
    static constexpr int64_t intervalMs { 10000 };

    class Model {
    public:
        explicit Model(JobSpec spec)
            : m_spec(std::move(spec))
        {
            for (WorkerHandle handle = 1; handle <= 3; ++handle)
                m_fixture.addWorker(handle);
            for (WorkerHandle handle = 1; handle <= 3; ++handle)
                m_fixture.scheduler().setReachable(handle, true, m_fixture.now());
            RC_ASSERT(m_fixture.scheduler().addJob(m_spec, std::nullopt, neverInstant));
        }

        bool isStepDone(uint32_t k, uint32_t step) const
        {
            for (uint32_t i = 0; i < m_spec.steps[step].count; ++i) {
                if (!m_done.contains({ k, step, i }))
                    return false;
            }
            return true;
        }

        bool areDependenciesDone(uint32_t k, uint32_t step) const
        {
            return std::ranges::all_of(
                m_spec.steps[step].dependsOn, [&](uint32_t earlier) { return isStepDone(k, earlier); });
        }

        /// A worker reports the end of a run of an earlier leader.
        void learn(uint32_t k, uint32_t step, uint32_t index)
        {
            if (!areDependenciesDone(k, step))
                return;
            end(1, { m_spec.id, k, step, index }, ++m_lastRun);
        }

        void advanceAndPlan(Milliseconds time)
        {
            m_fixture.advance(time);
            for (const auto& start : m_fixture.planStarts()) {
                const auto& task = start.task;
                RC_ASSERT(areDependenciesDone(task.occurrence, task.step));
                RC_ASSERT(m_fixture.now().time_since_epoch().count()
                    >= m_spec.firstDueMs + static_cast<int64_t>(task.occurrence) * m_spec.intervalMs);
                RC_ASSERT(!m_done.contains({ task.occurrence, task.step, task.index }));
                m_fixture.scheduler().commandAccepted(start.worker, task, start.run, m_fixture.now());
                m_started.push_back(start);
            }
        }

        void complete(size_t index)
        {
            if (m_started.empty())
                return;
            auto it = m_started.begin() + static_cast<ptrdiff_t>(index % m_started.size());
            auto start = *it;
            m_started.erase(it);
            end(start.worker, start.task, start.run);
        }

        void checkStage()
        {
            for (const auto& progress : m_fixture.scheduler().takeChangedJobs())
                m_fixture.scheduler().progressStored(progress);
            bool isCompleted = true;
            for (uint32_t k = 0; k < m_spec.repeats; ++k) {
                for (uint32_t step = 0; step < m_spec.steps.size(); ++step)
                    isCompleted = isCompleted && isStepDone(k, step);
            }
            RC_ASSERT((m_fixture.scheduler().stateOf(m_spec.id) == JobStage::Completed) == isCompleted);
        }

        /// Lets all occurrences become due and all their tasks end.
        void finish()
        {
            constexpr int maxRounds { 60 };
            for (int i = 0; i < maxRounds; ++i) {
                advanceAndPlan(Milliseconds { intervalMs });
                while (!m_started.empty())
                    complete(0);
            }
            checkStage();
            RC_ASSERT(m_fixture.scheduler().stateOf(m_spec.id) == JobStage::Completed);
        }

    private:
        void end(WorkerHandle worker, const TaskRef& task, uint64_t run)
        {
            m_fixture.scheduler().runEnded(worker,
                { .sequence = ++m_lastSequence, .task = task, .run = run, .outcome = RunOutcome::Done },
                m_fixture.now());
            // The members of a gang end together.
            for (uint32_t i = 0; i < m_spec.steps[task.step].count; ++i) {
                if (i == task.index || m_spec.steps[task.step].gang)
                    m_done.insert({ task.occurrence, task.step, i });
            }
        }

        JobSpec m_spec;
        TaskSchedulerFixture m_fixture { 7 };
        std::set<std::tuple<uint32_t, uint32_t, uint32_t>> m_done;
        std::vector<StartTask> m_started;
        uint64_t m_lastRun { 0 };
        uint64_t m_lastSequence { 0 };
    };

    static JobSpec recurringJob(std::vector<StepSpec> steps, uint32_t repeats)
    {
        auto spec = TaskSchedulerFixture::job("j", std::move(steps));
        spec.repeats = repeats;
        spec.firstDueMs = intervalMs;
        spec.intervalMs = intervalMs;
        return spec;
    }
};

// Guards against a recurring job that is shown as completed while one of its tasks runs: a step that was known to be
// done before its occurrence was due counted twice.
TEST(TaskCompletion, StepDoneBeforeItsOccurrenceIsDueCountsOnce)
{
    checkProperty("a step counts once", [] {
        Model model(recurringJob({ TaskSchedulerFixture::step(1), TaskSchedulerFixture::step(1) }, 1));
        model.learn(0, 0, 0);
        model.advanceAndPlan(Milliseconds { 2 * intervalMs });
        model.checkStage();
        model.finish();
    });
}

// Guards against steps that start before those that they depend on, and before their occurrence is due.
TEST(TaskCompletion, StepWaitsForAllDependenciesOfAnOccurrenceThatWasNotDue)
{
    checkProperty("a step waits for all", [] {
        Model model(recurringJob({ TaskSchedulerFixture::step(1), TaskSchedulerFixture::step(1),
                                     TaskSchedulerFixture::step(1, { 0, 1 }), TaskSchedulerFixture::step(1, { 0 }) },
            1));
        model.learn(0, 0, 0);
        model.advanceAndPlan(Milliseconds { 10 });
        model.advanceAndPlan(Milliseconds { 2 * intervalMs });
        model.finish();
    });
}

// Guards against the same in any order of learning, becoming due and completing.
TEST(TaskCompletion, StepsCountOnceInAnyOrderOfEvents)
{
    checkProperty("steps count once", [] {
        auto number = [](uint32_t end) { return *rc::gen::inRange<uint32_t>(0, end); };
        std::vector<StepSpec> steps;
        auto count = 1 + number(5);
        for (uint32_t i = 0; i < count; ++i) {
            std::vector<uint32_t> dependsOn;
            for (uint32_t earlier = 0; earlier < i; ++earlier) {
                if (number(2) == 1)
                    dependsOn.push_back(earlier);
            }
            auto step = TaskSchedulerFixture::step(1 + number(3), dependsOn);
            step.gang = number(3) == 0;
            steps.push_back(step);
        }
        auto repeats = 1 + number(3);
        Model model(recurringJob(steps, repeats));
        auto events = number(40);
        for (uint32_t i = 0; i < events; ++i) {
            switch (number(4)) {
            case 0:
            case 1: {
                auto step = number(count);
                model.learn(number(repeats), step, number(steps[step].count));
                break;
            }
            case 2:
                model.advanceAndPlan(Milliseconds { number(intervalMs / 2) });
                break;
            default:
                model.complete(number(8));
            }
            model.checkStage();
        }
        model.finish();
    });
}
