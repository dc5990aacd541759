#pragma once

#include <LibConfig/Findings.h>
#include <LibConfig/NodeSettings.h>
#include <string>
#include <string_view>
#include <variant>

namespace Bergamot {

/// Valid settings, or every finding, sorted by line.
using NodeSettingsResult = std::variant<NodeSettings, Findings>;

/// Loads the settings of an entry daemon. Bad input gives findings, never an exception.
NodeSettingsResult loadNodeSettings(std::string_view text, const std::string& file);

}
