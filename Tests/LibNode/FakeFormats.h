#pragma once

#include <LibPlatform/PlatformFormats.h>
#include <map>
#include <string>

namespace Bergamot {

/// Looks up the parsed form of each record by its text, in maps filled by the test.
class FakeFormats : public PlatformFormats {
public:
    absl::StatusOr<OperatorChange> readOperatorRecord(const KeyedRecord& record) const override
    {
        auto it = changes.find(record.value);
        return it == changes.end() ? absl::StatusOr<OperatorChange>(absl::InvalidArgumentError("not known"))
                                   : it->second;
    }

    absl::StatusOr<WorkerAnnouncement> readWorkerRecord(const KeyedRecord& record) const override
    {
        auto it = workers.find(record.value);
        return it == workers.end() ? absl::StatusOr<WorkerAnnouncement>(absl::InvalidArgumentError("not known"))
                                   : it->second;
    }

    absl::StatusOr<JobSpec> readJob(std::string_view) const override { return JobSpec {}; }
    std::string writeJobStage(JobStage) const override { return {}; }
    std::string writePendingJobs(uint32_t) const override { return {}; }

    std::map<std::string, OperatorChange> changes {};
    std::map<std::string, WorkerAnnouncement> workers {};
};

}
