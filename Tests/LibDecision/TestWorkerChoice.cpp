#include "TaskSchedulerFixture.h"
#include <CheckProperty.h>
#include <LibDecision/CandidateRanking.h>
#include <algorithm>
#include <map>
#include <optional>

using namespace Bergamot;

TEST_GROUP(WorkerChoice) { static StepSpec drawStep(uint32_t count) { auto step = TaskSchedulerFixture::step(count);
step.size = { 500 * *rc::gen::inRange<int64_t>(1, 8), 500 * *rc::gen::inRange<int64_t>(1, 8), 0 };
step.maxPerWorker = *rc::gen::element(0U, 0U, 2U);
auto kind = *rc::gen::inRange(0, 3);
step.bestEffort = kind == 1;
step.longRunning = kind == 2;
step.targetLatencyMs = step.longRunning ? 20 : 0;
step.image = *rc::gen::element<std::string>("", "a", "b");
return step;
}

static std::vector<WorkerHandle> workersOf(const std::vector<StartTask>& starts)
{
    std::vector<WorkerHandle> workers;
    for (const auto& start : starts)
        workers.push_back(start.worker);
    return workers;
}
}
;

// Guards against a ranking that prefers another candidate than a search of all of them: among equal scores the first.
TEST(WorkerChoice, RankingFindsTheFirstOfTheHighestScores)
{
    checkProperty("the best candidate is the first with the highest score", [] {
        auto scores = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
        std::vector<CandidateRanking::Entry> entries;
        std::map<size_t, int> expected;
        for (size_t i = 0; i < scores.size(); ++i) {
            entries.push_back({ static_cast<double>(scores[i]), i });
            expected[i] = scores[i];
        }
        CandidateRanking ranking(std::move(entries));
        while (!expected.empty()) {
            auto best = std::ranges::max_element(expected, {}, [](const auto& it) { return it.second; });
            RC_ASSERT(!ranking.isEmpty() && ranking.best() == best->first);
            auto score = *rc::gen::inRange(-3, 6);
            if (score < 0 || *rc::gen::inRange(0, 3) == 0) {
                ranking.updateBest(std::nullopt);
                expected.erase(best);
            } else {
                ranking.updateBest(static_cast<double>(score));
                best->second = score;
            }
        }
        RC_ASSERT(ranking.isEmpty());
    });
}

// Guards against tasks that go to other workers because the step's scores are computed once: the members of a gang are
// placed by a search each.
TEST(WorkerChoice, TasksOfAStepGetTheWorkersOfSingleSearches)
{
    checkProperty("a step is placed like a gang that fits", [] {
        TaskSchedulerFixture single;
        TaskSchedulerFixture ranked;
        auto workers = *rc::gen::inRange<WorkerHandle>(1, 12);
        for (WorkerHandle handle = 1; handle <= workers; ++handle) {
            Resources capacity { 4000 * *rc::gen::inRange<int64_t>(1, 5), 4000 * *rc::gen::inRange<int64_t>(1, 5), 0 };
            single.addWorker(handle, capacity);
            ranked.addWorker(handle, capacity);
        }
        auto jobs = *rc::gen::inRange(1, 6);
        for (int i = 0; i < jobs; ++i) {
            auto step = drawStep(*rc::gen::inRange<uint32_t>(1, 12));
            auto id = "j" + std::to_string(i);
            ranked.scheduler().addJob(ranked.job(id, { step }), std::nullopt, neverInstant);
            step.gang = true;
            single.scheduler().addJob(single.job(id, { step }), std::nullopt, neverInstant);
            auto expected = workersOf(single.planStarts());
            auto chosen = workersOf(ranked.planStarts());
            // A gang that does not fit starts not at all, and the states differ from then on.
            if (expected.empty()) {
                RC_ASSERT(chosen.size() < step.count);
                return;
            }
            RC_ASSERT(chosen == expected);
        }
    });
}
