#pragma once

#include <LibPlatform/TaskId.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Bergamot {

/// The content of a checkpoint: the attempt that wrote the checkpoint and its progress in thousandths.
struct Checkpoint {
    TaskId task {};
    int64_t progressPerMille { 0 };

    std::string text() const;

    /// Returns InvalidArgument when the text is not of the form `job#attempt#progress`.
    static absl::StatusOr<Checkpoint> parse(std::string_view);

    bool operator==(const Checkpoint&) const = default;
};

}
