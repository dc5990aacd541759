#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/AppendReply.h>
#include <LibPlatform/AppendRequest.h>
#include <LibPlatform/ReadNewestReply.h>
#include <LibPlatform/ReadReply.h>
#include <LibPlatform/RecordLimits.h>
#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace Bergamot {

/// The platform's record store. Calls are asynchronous; the callback runs exactly once, on the caller's event loop.
/// After Unavailable and DeadlineExceeded, an append may have been applied or may still be applied later; after Aborted
/// and ResourceExhausted, it has not been applied; after InvalidArgument, it never will be, however often it is
/// repeated.
class RecordStore {
public:
    template <typename Reply> using Callback = std::function<void(absl::StatusOr<Reply>)>;

    virtual ~RecordStore() = default;

    /// Maximum of contentSizeOf() of a record; appends of larger ones fail with InvalidArgument.
    virtual size_t maxRecordBytes() const { return defaultMaxRecordBytes; }

    virtual void append(const AppendRequest&, Milliseconds timeout, Callback<AppendReply>) = 0;

    /// Reads records of a partition from offset `from` on. If there is none, waits up to `wait` for the next append.
    virtual void read(StreamName, uint32_t partition, LogPosition from, Milliseconds wait, Callback<ReadReply>) = 0;

    /// Reads a page of a partition: the newest record of each key after `afterKey`.
    virtual void readNewest(
        StreamName, uint32_t partition, const std::string& afterKey, Milliseconds timeout, Callback<ReadNewestReply>)
        = 0;
};

}
