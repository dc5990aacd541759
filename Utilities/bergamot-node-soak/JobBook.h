#pragma once

#include "SoakJob.h"
#include <LibHttp/EventLoop.h>
#include <PlatformStandIn/RunObserver.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Bergamot {

/// All jobs of a soak. It checks what callers and workers see against the promises, and prints each violation with the
/// history of its job.
class JobBook final : public RunObserver {
public:
    using JobHandle = std::shared_ptr<SoakJob>;

    JobBook(EventLoop&, uint64_t seed);

    void add(const JobHandle&);

    /// What the callers see. `sentAt` is the time of the request.
    void attemptSent(SoakJob&);
    void attemptAccepted(SoakJob&);
    void attemptRejected(SoakJob&, int status);
    void attemptUnanswered(SoakJob&, std::string_view why);
    void cancelSent(SoakJob&);
    void cancelAcknowledged(SoakJob&);
    void stateShown(SoakJob&, const std::string& state, Instant sentAt);
    void unknownShown(SoakJob&, Instant sentAt);

    /// What the workers see.
    void runStarted(const Run&, const std::string& spec) override;
    void runEnded(const Run&, const std::string& outcome) override;
    void endAcknowledged(const Run&, const std::string& outcome) override;
    void workerCrashed(const std::string& worker) override;
    uint32_t failedRuns(const std::string& task) const override;

    void note(SoakJob&, std::string text) const;
    void violation(SoakJob*, const std::string& what);

    /// Accepted jobs whose end no caller has seen.
    size_t openJobs() const;

    /// Every accepted job must have ended by now.
    void checkAllEnded();

    /// One line of counts.
    std::string summary() const;
    uint32_t violations() const { return m_violations; }
    int64_t elapsedMs() const { return (m_loop.now() - m_beganAt).count(); }

private:
    SoakJob* jobOf(const std::string& task) const;
    void checkStart(SoakJob&, SoakTask&, const Run&, const std::string& spec);
    void checkEarlierSteps(SoakJob&, const std::string& task);
    void checkRejected(SoakJob&);
    static bool hasEndedDone(const SoakJob&, size_t step);
    static bool hasEndedDone(const SoakJob&);

    EventLoop& m_loop;
    uint64_t m_seed;
    Instant m_beganAt;
    std::map<std::string, JobHandle> m_jobs;
    uint32_t m_violations { 0 };
    uint64_t m_starts { 0 };
};

}
