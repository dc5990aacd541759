#include "CommandRunner.h"
#include <CppUTest/TestHarness.h>
#include <LibAdmin/JobLogAnalysis.h>
#include <LibAdmin/LogLine.h>

using namespace Bergamot;

TEST_GROUP(JobLogAnalysis)
{
    CommandRunner runner;

    void checkContains(const std::string& text, const char* part)
    {
        CHECK_TEXT(text.find(part) != std::string::npos, (std::string(part) + " is not in: " + text).c_str());
    }
};

// Guards against quoted values that are cut at blanks or equals signs, and against text that a collector puts before a
// line.
TEST(JobLogAnalysis, LinesAreRead)
{
    auto line = LogLine::parse(
        R"(  5.4 host ts=17.042 level=info process=h1 event=job_ended job=a1 steps_ms="0.0:wait=3,run=9" note="say \"x\"")");
    CHECK(line.has_value());
    CHECK_EQUAL(17042, line->atMs);
    STRCMP_EQUAL("h1", line->process.c_str());
    STRCMP_EQUAL("job_ended", line->event.c_str());
    STRCMP_EQUAL("0.0:wait=3,run=9", line->field("steps_ms").c_str());
    STRCMP_EQUAL("say \"x\"", line->field("note").c_str());
    CHECK_FALSE(LogLine::parse("no log line").has_value());
    CHECK_FALSE(LogLine::parse("ts=abc event=x").has_value());
}

// Guards against a rejection that is reported without the failed store call that caused it.
TEST(JobLogAnalysis, RejectionNamesTheFailedStoreCall)
{
    runner.files["h1.log"] = "ts=10.000 process=h1 event=job_append_failed jobs=1 first=zz unknown_effect=false "
                             "error=\"append: status 503\"\n"
                             "ts=10.100 process=h1 event=job_submitted job=a1 result=refused ms=101\n";
    auto result = runner.runLine("explain a1 h1.log");
    CHECK_EQUAL(0, result.status);
    checkContains(result.out, "h1 answered refused because its store call failed: append: status 503");
}

// Guards against listing lines of several hosts out of order, and against a late job without its waiting and run times.
TEST(JobLogAnalysis, LateJobShowsItsDelays)
{
    runner.files["leader.log"]
        = "ts=20.900 process=h2 event=job_known job=a1 queue=q age_ms=900 offset=7\n"
          "ts=20.500 process=h2 event=leader_changed epoch=9 leader=h2 self=true\n"
          "ts=27.000 process=h2 event=job_ended job=a1 queue=q state=completed late_ms=2500 failed_runs=1 "
          "steps_ms=\"0.0:wait=4000,run=1100;0.1:wait=200,run=800\"\n";
    runner.files["h1.log"] = "ts=20.000 process=h1 event=job_submitted job=a1 result=accepted ms=14\n";
    auto result = runner.runLine("explain a1 leader.log h1.log");
    CHECK_EQUAL(0, result.status);
    CHECK(result.out.find("job_submitted") < result.out.find("leader_changed"));
    CHECK(result.out.find("leader_changed") < result.out.find("job_known"));
    checkContains(result.out, "900 ms passed from the acceptance until leader h2 had read the job");
    checkContains(
        result.out, "2500 ms late: its steps waited 4200 ms for workers and ran for 1900 ms, with 1 failed runs");
}

// Guards against blaming a worker for a task that fails on several workers.
TEST(JobLogAnalysis, FailedJobCountsRunsAndWorkers)
{
    runner.files["l"]
        = "ts=1.0 process=h event=job_submitted job=a1 result=accepted ms=1\n"
          "ts=1.1 process=h event=job_known job=a1 queue=q age_ms=20 offset=1\n"
          "ts=2.0 process=h event=run_ended job=a1 step=0 index=0 run=1 worker=w1 outcome=failed\n"
          "ts=2.1 process=h event=run_ended job=a1 step=0 index=0 run=1 worker=w1 outcome=failed\n"
          "ts=3.0 process=h event=run_ended job=a1 step=0 index=0 run=2 worker=w2 outcome=failed\n"
          "ts=3.1 process=h event=job_ended job=a1 queue=q state=failed late_ms=-5 failed_runs=2 steps_ms=\n";
    checkContains(runner.runLine("explain a1 l").out, "2 runs failed on 2 workers, so the task is likely at fault");
}

// Guards against a job that was given up without the workers and runs that show why.
TEST(JobLogAnalysis, GivenUpJobNamesTheCrashedWorkers)
{
    runner.files["l"]
        = "ts=1.0 process=h event=job_submitted job=a1 result=accepted ms=1\n"
          "ts=1.1 process=h event=job_known job=a1 queue=q age_ms=20 offset=1\n"
          "ts=9.0 process=h event=run_crashed job=a1 occurrence=0 step=0 index=0 run=3 worker=w3 run_ms=20 "
          "isolated=true crashes=3 gives_up=true\n"
          "ts=9.1 process=h event=job_ended job=a1 queue=q state=failed late_ms=5 failed_runs=0 max_attempts=3 "
          "crashes=\"0.0.0:run=2,worker=w2,isolated;0.0.0:run=3,worker=w3,isolated\" steps_ms=\n";
    auto out = runner.runLine("explain a1 l").out;
    checkContains(out, "workers crashed under runs of a task, so the job was given up");
    checkContains(out, "0.0.0:run=2,worker=w2,isolated");
    CHECK(out.find("used up its attempts") == std::string::npos);
}

// Guards against an analysis that does not report missing log lines.
TEST(JobLogAnalysis, MissingLinesAreNamed)
{
    runner.files["l"] = "ts=1.1 process=h event=job_known job=a1 queue=q age_ms=20 offset=1\n";
    auto result = runner.runLine("explain a1 l");
    checkContains(result.out, "missing:");
    checkContains(result.out, "job_submitted:");
    checkContains(result.out, "job_ended:");
    CHECK_EQUAL(1, runner.runLine("explain other l").status);
    CHECK_EQUAL(2, runner.runLine("explain a1 nofile").status);
}
