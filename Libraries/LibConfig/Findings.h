#pragma once

#include <LibConfig/Finding.h>
#include <string>
#include <vector>

namespace Bergamot {

using Findings = std::vector<Finding>;

/// Formats each finding as one line, `file:line: key: message`, like a compiler diagnostic.
std::string describeFindings(const Findings& findings);

/// Sorts by file, line and key, and removes duplicates.
void sortFindings(Findings& findings);

}
