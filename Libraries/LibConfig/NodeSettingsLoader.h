#pragma once

#include <LibConfig/Findings.h>
#include <LibConfig/NodeSettings.h>
#include <string>
#include <string_view>
#include <variant>

namespace Bergamot {

/// Valid settings, or all findings, sorted by line.
using NodeSettingsResult = std::variant<NodeSettings, Findings>;

/// Loads the settings of an entry daemon. Invalid input results in findings, never in an exception.
NodeSettingsResult loadNodeSettings(std::string_view text, const std::string& file);

}
