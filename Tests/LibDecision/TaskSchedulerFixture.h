#pragma once

#include <CppUTest/TestHarness.h>
#include <LibDecision/TaskScheduler.h>
#include <string>
#include <variant>
#include <vector>

namespace Bergamot {

/// Feeds the events of a leader into a TaskScheduler in virtual time.
class TaskSchedulerFixture {
public:
    explicit TaskSchedulerFixture(uint64_t epoch = 1)
        : m_scheduler({ .epoch = epoch })
    {
        m_scheduler.setQueues({ { "quick", { .service = "token", .maxAttempts = 2, .stretch = 1.5 } },
            { "batch", { .service = "token", .priority = 2, .maxAttempts = 2, .stretch = 2 } } });
    }

    TaskScheduler& scheduler() { return m_scheduler; }
    Instant now() const { return m_now; }
    void advance(Milliseconds time) { m_now += time; }

    void addWorker(WorkerHandle handle, Resources capacity = { 32000, 125000, 0 }, std::string zone = "a")
    {
        TaskWorkerView view { .id = "w" + std::to_string(handle), .service = "token", .zone = std::move(zone) };
        view.capacity = capacity;
        m_scheduler.updateWorker(handle, view);
    }

    static JobSpec job(std::string id, std::vector<StepSpec> steps, std::string queue = "quick")
    {
        return { .id = std::move(id), .queue = std::move(queue), .payload = "p", .steps = std::move(steps) };
    }

    static StepSpec step(uint32_t count, std::vector<uint32_t> dependsOn = {})
    {
        return { .count = count, .size = { 1000, 1000, 0 }, .estimateMs = 1000, .dependsOn = std::move(dependsOn) };
    }

    std::vector<StartTask> startsOf(const std::vector<TaskAction>& actions)
    {
        std::vector<StartTask> starts;
        for (const auto& action : actions) {
            if (const auto* start = std::get_if<StartTask>(&action))
                starts.push_back(*start);
        }
        return starts;
    }

    std::vector<TaskAction> plan() { return m_scheduler.plan(m_now, m_now.time_since_epoch().count()); }
    std::vector<StartTask> planStarts() { return startsOf(plan()); }

    void endRun(const StartTask& start, RunOutcome outcome, uint64_t sequence = 1)
    {
        m_scheduler.runEnded(
            start.worker, { .sequence = sequence, .task = start.task, .run = start.run, .outcome = outcome }, m_now);
    }

private:
    TaskScheduler m_scheduler;
    Instant m_now { Milliseconds { 1000 } };
};

}
