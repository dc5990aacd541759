#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/KeyedRecord.h>
#include <LibPlatform/StreamName.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Bergamot {

/// Identifies an append of a writer whose earlier holders are locked out by the epoch. Sequences rise by one.
struct WriterFence {
    std::string writer {};
    uint64_t epoch { 0 };
    uint64_t sequence { 0 };

    bool operator==(const WriterFence&) const = default;
};

struct AppendRequest {
    StreamName stream { StreamName::Jobs };
    uint32_t partition { 0 };

    /// Appended all or nothing. None, with a fence, only sets the writer's epoch.
    std::vector<KeyedRecord> records {};

    /// Append only when the stream ends at this offset.
    std::optional<LogPosition> onlyAt {};
    std::optional<WriterFence> fence {};
};

enum class AppendOutcome : uint8_t { Appended, EndMoved, Fenced, WrongSequence };

struct AppendReply {
    AppendOutcome outcome { AppendOutcome::Appended };

    /// Offset of the first record.
    LogPosition offset { 0 };
};

struct ReadReply {
    /// The next offset to be written.
    LogPosition end { 0 };
    std::vector<KeyedRecord> records {};

    /// The wanted records have been deleted; `firstRetained` is the oldest one.
    bool expired { false };
    LogPosition firstRetained { 0 };
};

struct NewestReply {
    /// The newest record of each key, in pages.
    std::vector<KeyedRecord> records {};
    bool more { false };
    LogPosition end { 0 };
};

/// The platform's store of records. Calls return at once; the callback runs exactly once, on the caller's event loop.
/// After Unavailable and DeadlineExceeded the effect of an append is unknown and may still come; after Aborted and
/// ResourceExhausted nothing was done.
class RecordStore {
public:
    template <typename Reply> using Callback = std::function<void(absl::StatusOr<Reply>)>;

    virtual ~RecordStore() = default;

    virtual void append(const AppendRequest&, Milliseconds timeout, Callback<AppendReply>) = 0;

    /// Reads records of a partition from `from` on, and waits up to `wait` for the first one.
    virtual void read(StreamName, uint32_t partition, LogPosition from, Milliseconds wait, Callback<ReadReply>) = 0;

    /// Reads the newest record of each key of a partition that follows `afterKey`.
    virtual void newest(StreamName, uint32_t partition, const std::string& afterKey, Callback<NewestReply>) = 0;
};

}
