#pragma once

namespace Bergamot {

class HostList;
class LogFaults;
class LogStore;
class TimerQueue;
class WorkerFaults;
class WorkerModel;
struct ExecutionRecord;
struct RunRecords;
struct TaskRecord;
struct Violation;

}
