#pragma once

#include <LibCore/Service.h>
#include <LibCore/Time.h>
#include <LibPlatform/LogChunk.h>
#include <absl/status/statusor.h>
#include <functional>
#include <string>

namespace Bergamot {

/// The platform's append-only log. Calls are asynchronous; the callback runs exactly once, on a thread of the
/// implementation.
class LogService : public Service {
public:
    template <typename Reply> using Callback = std::function<void(absl::StatusOr<Reply>)>;

    /// Appends one entry and returns its offset. On Unavailable or DeadlineExceeded the entry may have been
    /// appended; on Aborted, ResourceExhausted and InvalidArgument it was not.
    virtual void append(const std::string& stream, std::string bytes, Callback<LogPosition>) = 0;

    /// Reads entries from offset `from` on. If there is none, waits up to `wait` for the next append.
    virtual void read(const std::string& stream, LogPosition from, Milliseconds wait, Callback<LogChunk>) = 0;
};

}
