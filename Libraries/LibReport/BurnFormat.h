#pragma once

#include <LibReport/BurnReport.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// Formats the report as plain text for a terminal. Names with spaces or control characters are quoted.
std::string formatBurnText(const BurnReport&);

/// Formats the report as one JSON object. Invalid UTF-8 bytes are replaced by U+FFFD.
std::string formatBurnJson(const BurnReport&);

/// Formats the report as one HTML page with inline CSS and inline SVG plots. The page contains no scripts and no
/// references to other files.
std::string formatBurnHtml(const BurnReport&);

/// Formats a duration as "2 d 3 h", "4 h 5 min" or "6 min".
std::string formatMinutes(int64_t minutes);

/// Escapes a name for HTML text and attribute values. Control characters and invalid UTF-8 bytes become U+FFFD.
std::string escapeHtml(std::string_view);

/// Returns at most `limit` clients or zones in descending order of their bad requests in the 28-day window.
std::vector<std::pair<std::string, BurnStats>> selectWorst(const std::map<std::string, BurnStats>&, size_t limit);

}
