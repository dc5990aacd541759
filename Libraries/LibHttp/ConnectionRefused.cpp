#include <LibHttp/ConnectionRefused.h>
#include <absl/strings/cord.h>
#include <absl/strings/string_view.h>

namespace Bergamot {

/// Marks the status, because other failed connections have the same code.
static constexpr char payloadType[] = "bergamotbay/connection-refused";

absl::Status connectionRefusedError(std::string_view message)
{
    auto status = absl::AbortedError(absl::string_view(message.data(), message.size()));
    status.SetPayload(payloadType, absl::Cord());
    return status;
}

bool isConnectionRefused(const absl::Status& status) { return status.GetPayload(payloadType).has_value(); }

}
