#pragma once

#include <absl/status/status.h>
#include <string_view>

namespace Bergamot {

/// Status of a call whose connection the peer's host refused: no process listens at the address. Its code is Aborted,
/// because the call was not sent.
absl::Status connectionRefusedError(std::string_view message);

bool isConnectionRefused(const absl::Status&);

}
