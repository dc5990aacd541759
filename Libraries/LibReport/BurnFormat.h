#pragma once

#include <LibReport/BurnReport.h>
#include <string>
#include <string_view>

namespace Bergamot {

/// Plain text for a terminal. Names with spaces or control characters are quoted.
std::string formatBurnText(const BurnReport&);

/// One JSON object. Bytes that are not UTF-8 are replaced by U+FFFD.
std::string formatBurnJson(const BurnReport&);

/// One HTML page with inline style and plots in inline SVG, without scripts and references to other files.
std::string formatBurnHtml(const BurnReport&);

/// "2 d 3 h", "4 h 5 min" or "6 min".
std::string formatMinutes(int64_t minutes);

/// Escapes a name for the text and the attributes of HTML. Control characters and bytes that are not UTF-8 become
/// U+FFFD.
std::string escapeHtml(std::string_view);

/// Clients or zones with the most bad requests of 28 days first, at most `limit`.
std::vector<std::pair<std::string, BurnFigures>> worstOf(const std::map<std::string, BurnFigures>&, size_t limit);

}
