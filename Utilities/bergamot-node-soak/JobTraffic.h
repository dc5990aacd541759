#pragma once

#include "JobBook.h"
#include "Random.h"
#include <LibHttp/HttpCall.h>
#include <LibHttp/HttpEngine.h>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot {

/// The callers: they submit jobs to any node, repeat what was not answered, ask for states, and cancel some jobs.
class JobTraffic {
public:
    struct Options {
        uint64_t seed { 1 };
        double jobsPerSecond { 6 };

        /// The base address of each node's queues.
        std::vector<std::string> fronts {};
        std::vector<QueuePlan> queues {};
    };

    JobTraffic(EventLoop&, JobBook&, Options);

    void start();

    /// No new jobs; the jobs in progress are followed to their end.
    void stop() { m_stopped = true; }

private:
    using JobHandle = JobBook::JobHandle;

    void submitNext();
    JobHandle drawJob();
    StepPlan drawStep(const QueuePlan&, bool afterEarlierStep);
    void submit(const JobHandle&);
    void submitted(const JobHandle&, const absl::StatusOr<HttpReply>&);
    void accepted(const JobHandle&);
    void ask(const JobHandle&);
    void cancel(const JobHandle&);
    HttpCall callOf(const SoakJob&, std::string method);

    /// Runs the task after a time between these bounds.
    void later(int64_t fewestMs, int64_t mostMs, std::function<void()> task);

    EventLoop& m_loop;
    JobBook& m_book;
    Options m_options;
    Random m_random;
    std::unique_ptr<HttpEngine> m_engine;
    uint64_t m_nextJob { 1 };
    bool m_stopped { false };
};

}
