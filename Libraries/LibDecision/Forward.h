#pragma once

namespace Bergamot {

class BatchScheduler;
struct EvictTask;
struct FailJob;
struct JobView;
struct KindView;
struct PlaceTask;
struct QuarantineWorker;
struct SchedulerOptions;
struct TeamView;
struct ThrottleTask;
struct UsageSample;
struct WaitReason;
struct WorkerView;

}
