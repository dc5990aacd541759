#pragma once

#include <LibPlatform/KeyedRecord.h>
#include <LibPlatform/OperatorChange.h>
#include <LibPlatform/WorkerAnnouncement.h>
#include <LibWire/JobSpec.h>
#include <LibWire/JobStage.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// Translates between the data formats of the platform and the types of this system.
class PlatformFormats {
public:
    virtual ~PlatformFormats() = default;

    /// Returns InvalidArgument for a malformed record.
    virtual absl::StatusOr<OperatorChange> readOperatorRecord(const KeyedRecord&) const = 0;

    /// Returns InvalidArgument when the record does not describe a valid worker.
    virtual absl::StatusOr<WorkerAnnouncement> readWorkerRecord(const KeyedRecord&) const = 0;

    /// Parses the body of a job submission. The message of InvalidArgument names the invalid field. The id, the queue,
    /// the queue policy and the acceptance time of the job are not set.
    virtual absl::StatusOr<JobSpec> readJob(std::string_view body) const = 0;

    virtual std::string writeJobStage(JobStage) const = 0;
    virtual std::string writePendingJobs(uint32_t) const = 0;
};

}
