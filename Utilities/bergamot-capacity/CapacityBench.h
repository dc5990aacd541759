#pragma once

#include "SyntheticCluster.h"
#include <LibCapacity/Measurement.h>
#include <LibDecision/BatchScheduler.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Bergamot {

/// Measures encoded bytes, processor time and memory of the components of an entry host at several sizes. Processor
/// time is that of the measuring thread, as the minimum of several repetitions, because other programs can only add to
/// it.
class CapacityBench {
public:
    explicit CapacityBench(uint64_t seed);

    const std::vector<Measurement>& run();

private:
    void measureRecordBytes();
    void measurePeerMessages();
    void measureWorkerCalls();
    void measureRecordProcessing();
    void measureMemory();
    void measureSnapshot();
    void measureScheduler();
    void measureControlLoop();
    void measureConfig();

    void addSeries(std::string name, std::string unit, std::string per, const std::vector<double>& sizes,
        const std::function<double(size_t)>& measure);
    void addRecordSeries(std::string name, const std::function<Record(size_t)>&);
    SizedValue placementTime(const ClusterState&, size_t jobs) const;
    std::unique_ptr<BatchScheduler> createScheduler(const ClusterState&) const;

    uint64_t m_seed;
    std::vector<Measurement> m_measurements;
};

}
