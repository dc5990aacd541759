#pragma once

#include <LibCore/Service.h>
#include <LibCore/Time.h>
#include <LibPlatform/LogChunk.h>
#include <absl/status/statusor.h>
#include <string_view>

namespace Bergamot {

/// The platform's append-only log. Calls block; each thread of the system uses an instance of its own.
class LogService : public Service {
public:
    /// Appends one entry and returns its offset. On Unavailable or DeadlineExceeded the entry may have been
    /// appended; on ResourceExhausted and InvalidArgument it surely was not.
    virtual absl::StatusOr<LogPosition> append(std::string_view stream, std::string_view bytes) = 0;

    /// Reads entries from `from` on, and waits up to `wait` for the first one when there is none.
    virtual absl::StatusOr<LogChunk> read(std::string_view stream, LogPosition from, Milliseconds wait) = 0;
};

}
