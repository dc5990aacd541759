#pragma once

#include <LibPlatform/TaskId.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Bergamot {

/// What the text of a checkpoint holds: the attempt that gave it and its progress in thousandths.
struct Checkpoint {
    TaskId task {};
    int64_t progressMilli { 0 };

    std::string text() const;

    /// InvalidArgument when the text is not `job#attempt#progress`.
    static absl::StatusOr<Checkpoint> parse(std::string_view);

    bool operator==(const Checkpoint&) const = default;
};

}
