#pragma once

#include <LibPlatform/PlatformFormats.h>
#include <LibWire/ValueCodec.h>
#include <fmt/format.h>
#include <map>
#include <string>

namespace Bergamot {

/// Platform-independent formats: jobs are encoded with the value codec, and the value of a worker's record is a key in
/// `announcements`.
class PlainFormats final : public PlatformFormats {
public:
    absl::StatusOr<OperatorChange> readOperatorRecord(const KeyedRecord&) const override { return UnknownChange {}; }

    absl::StatusOr<WorkerAnnouncement> readWorkerRecord(const KeyedRecord& record) const override
    {
        auto it = announcements.find(record.value);
        if (it == announcements.end())
            return absl::InvalidArgumentError("no such announcement");
        return it->second;
    }

    absl::StatusOr<JobSpec> readJob(std::string_view body) const override { return decodeValue<JobSpec>(body); }

    std::string writeJobStage(JobStage stage) const override
    {
        return fmt::format("stage {}", static_cast<int>(stage));
    }
    std::string writePendingJobs(uint32_t pending) const override { return fmt::format("pending {}", pending); }

    std::map<std::string, WorkerAnnouncement> announcements;
};

}
