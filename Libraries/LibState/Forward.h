#pragma once

namespace Bergamot {

class ClusterState;
struct ApplyResult;
struct JobState;
struct MemberState;
struct WorkerInfo;

}
