#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/AppendReply.h>
#include <LibPlatform/AppendRequest.h>
#include <LibPlatform/ReadNewestReply.h>
#include <LibPlatform/ReadReply.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <string>

namespace Bergamot {

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
    virtual void readNewest(
        StreamName, uint32_t partition, const std::string& afterKey, Milliseconds timeout, Callback<ReadNewestReply>)
        = 0;
};

}
