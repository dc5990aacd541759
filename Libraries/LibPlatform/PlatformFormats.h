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

/// Translates between the formats of the platform and the types of the system.
class PlatformFormats {
public:
    virtual ~PlatformFormats() = default;

    /// InvalidArgument when the record cannot be read.
    virtual absl::StatusOr<OperatorChange> readOperatorRecord(const KeyedRecord&) const = 0;

    /// InvalidArgument when the record names no worker to use.
    virtual absl::StatusOr<WorkerAnnouncement> readWorkerRecord(const KeyedRecord&) const = 0;

    /// Reads the body of a submitted job; the message of InvalidArgument names the field. Sets neither the id, the
    /// queue and its policy nor the time of acceptance.
    virtual absl::StatusOr<JobSpec> readJob(std::string_view body) const = 0;

    virtual std::string writeJobStage(JobStage) const = 0;
    virtual std::string writePendingJobs(uint32_t) const = 0;
};

}
