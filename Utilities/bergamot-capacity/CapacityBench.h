#pragma once

#include "SyntheticCluster.h"
#include <LibCapacity/Measurement.h>
#include <LibDecision/BatchScheduler.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot {

/// Measures bytes, processor time and memory of the parts of an entry host at several sizes. Processor time is that of
/// the measuring thread, the least of several rounds, because other programs can only add to it.
class CapacityBench {
public:
    explicit CapacityBench(uint64_t seed);

    const std::vector<Measurement>& run();

private:
    void measureRecordBytes();
    void measurePeerMessages();
    void measureWorkerCalls();
    void measureFold();
    void measureMemory();
    void measureSnapshot();
    void measureScheduler();
    void measureControlLoop();
    void measureConfig();

    void add(std::string name, std::string unit, std::string per, const std::vector<double>& sizes,
        const std::function<double(size_t)>& measure);
    void recordBytes(std::string name, const std::function<Record(size_t)>&);
    SizedValue placementTime(const ClusterState&, size_t jobs) const;
    std::unique_ptr<BatchScheduler> scheduler(const ClusterState&) const;

    uint64_t m_seed;
    std::vector<Measurement> m_measurements;
};

}
