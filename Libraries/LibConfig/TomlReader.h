#pragma once

#include <LibConfig/Findings.h>
#include <LibConfig/SourceTree.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// Maximum size of a configuration file or of an encoded configuration, in bytes. A site of the design size needs about
/// 40 KB.
inline constexpr size_t maxConfigBytes = size_t { 1 } << 20;

/// Parses a TOML file. A syntax error adds a finding and parsing continues after it, so that the caller gets all
/// findings at once. Dates and times are converted to JSON null, which no key accepts.
SourceTree readToml(std::string_view text, const std::string& file, Findings& findings);

}
