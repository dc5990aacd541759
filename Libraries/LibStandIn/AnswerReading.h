#pragma once

#include <LibHttp/HttpReply.h>
#include <LibStandIn/SentRequest.h>
#include <absl/status/statusor.h>
#include <string>

namespace Bergamot {

/// What a reply says about the execution of its request: `yes` for a success, else the `ran` of its problem document,
/// else `unknown`. A connection that was never made did not run anything.
std::string ranOf(const absl::StatusOr<HttpReply>&);

/// `not_connected`, `timeout` or `cut_off`; empty for a reply.
std::string errorOf(const absl::StatusOr<HttpReply>&);

/// Fills in what the reply to a quick request tells.
void noteAnswer(SentRequest&, const absl::StatusOr<HttpReply>&);

/// The last part of the `type` of a problem document, or empty.
std::string problemOf(const absl::StatusOr<HttpReply>&);

/// True when another entry host may give a better answer.
bool isWorthRetry(const absl::StatusOr<HttpReply>&);

}
