#pragma once

#include <LibConfig/SiteConfig.h>
#include <LibEntry/Problem.h>
#include <LibWire/JobSubmitted.h>
#include <string_view>
#include <variant>

namespace Bergamot {

/// Maximum declared run time of a job: 30 days.
inline constexpr int64_t maxJobRunTimeMs = int64_t { 30 } * 24 * 3600 * 1000;

/// Parses the JSON body of a job submission. Returns a record with an empty job id, or a problem that names the invalid
/// field.
std::variant<JobSubmitted, Problem> parseJobRequest(std::string_view body, const SiteConfig&);

}
