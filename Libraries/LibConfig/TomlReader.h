#pragma once

#include <LibConfig/Findings.h>
#include <LibConfig/SourceTree.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// Larger files are refused; a site at the design size needs about 40 KB.
inline constexpr size_t maxConfigBytes = size_t { 1 } << 20;

/// Parses a TOML file. A syntax error adds a finding, and the rest of the file is still read, so that the caller
/// gets all findings at once. Dates and times become JSON nulls, which no key accepts.
SourceTree readToml(std::string_view text, const std::string& file, Findings& findings);

}
