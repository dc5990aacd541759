#pragma once

#include <LibConfig/SiteConfig.h>
#include <LibEntry/Problem.h>
#include <LibWire/JobSubmitted.h>
#include <string_view>
#include <variant>

namespace Bergamot {

/// Largest declared run time of a job, in milliseconds (30 days).
inline constexpr int64_t maxRunMs = int64_t { 30 } * 24 * 3600 * 1000;

/// Turns the JSON body of a submission into a record without a job id, or names the faulty field.
std::variant<JobSubmitted, Problem> parseJobRequest(std::string_view body, const SiteConfig&);

}
