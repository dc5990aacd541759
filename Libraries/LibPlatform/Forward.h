#pragma once

namespace Bergamot {

class HostListService;
class LogService;
class PeerTransport;
class WorkerService;
struct HostEntry;
struct LeaseReport;
struct LogChunk;
struct TaskStart;

}
