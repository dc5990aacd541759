#include <LibEntry/ServiceUpstreams.h>

namespace Bergamot {

// The slots of a service depend only on its placed replicas in the cluster state. Members that have applied the same
// log entries therefore compute the same slots.
std::map<std::string, std::vector<ServicePath::Upstream>> upstreamsByService(const ClusterState& state)
{
    std::map<std::string, std::vector<ServicePath::Upstream>> result;
    for (const auto& [id, worker] : state.image().workers) {
        for (const auto& jobId : worker.jobs) {
            const auto* job = state.findJob(jobId);
            if (!job || !job->spec.isService)
                continue;
            auto& upstreams = result[job->spec.kind];
            if (upstreams.empty() || upstreams.back().worker != id)
                upstreams.push_back({ .worker = id, .zone = worker.spec.zone, .address = worker.spec.address });
        }
    }
    return result;
}

}
