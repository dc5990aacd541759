#pragma once

namespace Bergamot {

class RenewalAuthority;
class BatchScheduler;
class Leadership;
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
