#pragma once

#include "JobChecker.h"
#include <LibHttp/HttpCall.h>
#include <LibHttp/HttpEngine.h>
#include <PlatformStandIn/Random.h>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot {

/// Generates the requests of the callers. Submits jobs to randomly chosen nodes, retries rejected and unanswered
/// submissions, queries the state of accepted jobs, and cancels some of them.
class JobTraffic {
public:
    struct Options {
        uint64_t seed { 1 };
        double jobsPerSecond { 6 };

        /// Base URL of the queues at each node.
        std::vector<std::string> nodeUrls {};
        std::vector<QueuePlan> queues {};
    };

    JobTraffic(EventLoop&, JobChecker&, Options);

    void start();

    /// Stops submitting new jobs. Retries, state queries and cancels of the submitted jobs continue.
    void stop() { m_stopped = true; }

    /// For `duration`, gives a share of the new jobs one task that crashes each worker that starts it. The number of
    /// such jobs of a run is limited.
    void addCrashingTasks(Milliseconds duration);

private:
    using JobHandle = JobChecker::JobHandle;

    void submitNext();
    JobHandle generateJob();
    StepPlan generateStep(const QueuePlan&, bool dependsOnPreviousStep);
    void addCrashingTask(SoakJob&);
    void submit(const JobHandle&);
    void handleSubmitReply(const JobHandle&, const std::string& nodeUrl, const absl::StatusOr<HttpReply>&);
    void followAcceptedJob(const JobHandle&);
    void queryState(const JobHandle&);
    void cancel(const JobHandle&);
    const std::string& chooseNode();
    HttpCall makeCall(const SoakJob&, std::string method, const std::string& nodeUrl);

    /// Runs the task after a random delay between these bounds.
    void callAfterRandomDelay(int64_t minMs, int64_t maxMs, std::function<void()> task);

    EventLoop& m_loop;
    JobChecker& m_checker;
    Options m_options;
    Random m_random;

    /// Decides which jobs are submitted to two nodes at once.
    Random m_duplicateRandom;
    std::unique_ptr<HttpEngine> m_engine;
    uint64_t m_nextJob { 1 };
    bool m_stopped { false };
    Instant m_crashingTasksUntil { neverInstant };
    int m_crashingJobs { 0 };
};

}
