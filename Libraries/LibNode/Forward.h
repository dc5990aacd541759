#pragma once

namespace Bergamot {

class JobAcceptor;
class LeadershipMonitor;
class Node;
class NodeIngress;
class ProgressJournal;
class QueryRouter;
class StreamReader;
class TaskLeader;
class WorkerSession;
struct NodeOptions;

}
