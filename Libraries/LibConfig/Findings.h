#pragma once

#include <LibConfig/Finding.h>
#include <string>
#include <vector>

namespace Bergamot {

using Findings = std::vector<Finding>;

/// One line for each finding, `file:line: key: message`, as compilers print it.
std::string describeFindings(const Findings& findings);

/// Sorts by file, line and key, and drops repetitions.
void sortFindings(Findings& findings);

}
