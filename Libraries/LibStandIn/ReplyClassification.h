#pragma once

#include <LibHttp/HttpReply.h>
#include <LibStandIn/SentRequest.h>
#include <absl/status/statusor.h>
#include <string>

namespace Bergamot {

/// Returns whether the request was executed, as the reply states it: `yes` for a 2xx status, else the `ran` field of
/// the problem document or the X-Ran header, else `unknown`. Returns `no` when the connection was never established.
std::string executionStateOf(const absl::StatusOr<HttpReply>&);

/// Returns `not_connected`, `timeout` or `cut_off` for a failed call, and an empty text when a reply was received.
std::string transportErrorOf(const absl::StatusOr<HttpReply>&);

/// Fills in the fields of a quick request that follow from its reply.
void recordReply(SentRequest&, const absl::StatusOr<HttpReply>&);

/// Returns the last segment of the problem document's `type`, or an empty text when there is no problem document.
std::string problemTypeOf(const absl::StatusOr<HttpReply>&);

/// True when a retry through another entry host may succeed: no reply, status 429 or status 5xx.
bool isRetryable(const absl::StatusOr<HttpReply>&);

}
